/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.pgm.internal.CliException;
import org.orchidmount.pgm.internal.RowFiles;

/** A file of rows that ends inside a row is not imported. */
final class CutRowsTest {
    private static final String CSV = "kind,version,name,role,maxRunning\npool,1,plain,plain,500\n";

    private static final String JSON =
            "[{\"kind\":\"pool\",\"version\":1,"
                    + "\"row\":{\"name\":\"plain\",\"role\":\"plain\",\"maxRunning\":500}}]";

    @TempDir Path mFolder;

    private Path file(String type, int lostBytes) throws IOException {
        String text = type.equals("csv") ? CSV : JSON;
        Path file = mFolder.resolve("rows." + type);
        return Files.writeString(file, text.substring(0, text.length() - lostBytes));
    }

    /** Guards against a shortened number or name that is taken for whole. */
    @ParameterizedTest
    @CsvSource({"csv, 1", "csv, 2", "csv, 3", "csv, 5", "json, 1", "json, 2", "json, 5"})
    void aFileThatEndsInsideARowIsRefused(String type, int lostBytes) throws IOException {
        Path file = file(type, lostBytes);
        CliException refusal = assertThrows(CliException.class, () -> RowFiles.read(file));
        assertThat(refusal).hasMessageThat().contains(file.toString());
    }

    @ParameterizedTest
    @CsvSource({"csv", "json"})
    void aWholeFileIsRead(String type) throws IOException {
        assertThat(RowFiles.read(file(type, 0))).hasSize(1);
    }
}
