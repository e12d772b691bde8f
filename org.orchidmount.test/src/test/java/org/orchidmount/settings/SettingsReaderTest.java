/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.daemon.internal.TableCheck;

/** Tests {@link SettingsReader} and the examples. */
class SettingsReaderTest {
    private static final String GOOD =
            """
            // A comment.
            {
              "instance": "e-1", /* another */
              "region": "sul",
              "zone": "blumenau",
              "callers": {"host": "127.0.0.1", "port": 8080, "bodyTimeoutMillis": 1000},
              "operators": {"host": "127.0.0.1", "port": 8081, "tokensFile": "tokens"},
              "resume": {"keyFile": "key"},
              "drain": {"noticeMillis": 100},
            }
            """;

    @TempDir Path mFolder;

    @BeforeEach
    void writeSecrets() throws IOException {
        for (String name : List.of("tokens", "key")) {
            Path file = mFolder.resolve(name);
            Files.writeString(file, "x".repeat(40));
            Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        }
    }

    private SettingsResult read(String text) throws IOException {
        Path file = mFolder.resolve("settings.json");
        Files.writeString(file, text);
        return SettingsReader.read(file);
    }

    @Test
    void readsValuesAndDefaults() throws IOException {
        SettingsResult.Valid valid = (SettingsResult.Valid) read(GOOD);
        assertThat(valid.warnings()).isEmpty();
        assertThat(valid.settings().callers().bodyTimeout().toMillis()).isEqualTo(1000);
        assertThat(valid.settings().drain().limit().toMillis()).isEqualTo(120_000);
        assertThat(valid.settings().dataFolder()).isEqualTo(mFolder.resolve("data"));
        assertThat(valid.settings().policy()).isEqualTo("orchidmount");
    }

    @Test
    void warnsOfSecretsThatOthersCanRead() throws IOException {
        Files.setPosixFilePermissions(
                mFolder.resolve("key"), PosixFilePermissions.fromString("rw-r--r--"));
        SettingsResult.Valid valid = (SettingsResult.Valid) read(GOOD);
        assertThat(valid.warnings().getFirst().toString()).contains(":8:25: resume.keyFile:");
    }

    static List<Arguments> mistakes() {
        return List.of(
                Arguments.of(
                        "\"region\"", "\"regoin\"", ":4:13: regoin: is not known; known here are"),
                Arguments.of("\"region\"", "\"regoin\"", ": region: is missing; add it"),
                Arguments.of(
                        "\"bodyTimeoutMillis\"",
                        "\"bodyTimeoutSeconds\"",
                        ":6:72: callers.bodyTimeoutSeconds: is not known; did you mean"
                                + " \"bodyTimeoutMillis\"?"),
                Arguments.of(
                        ": 1000",
                        ": \"1s\"",
                        "callers.bodyTimeoutMillis: must be a whole number of milliseconds without"
                                + " unit or quotes"),
                Arguments.of(": 1000", ": 1.5", "must be a whole number of milliseconds"),
                Arguments.of(": 1000", ": 1", "is 1; give a whole number of milliseconds from 10"),
                Arguments.of("8080", "99999", ":6:44: callers.port: is 99999; give a TCP port"),
                Arguments.of("\"zone\"", "\"region\"", ":5:3: region: stands twice; remove one"),
                Arguments.of("\"tokens\"", "\"no\"", "no is missing; make it as"),
                Arguments.of(
                        "\"e-1\"", "\"e 1\"", ":3:15: instance: 'e 1' is no name; use letters"),
                Arguments.of("\"127.0.0.1\"", "\"localhost\"", "is no IP address; give digits"),
                Arguments.of("{\"noticeMillis\": 100}", "7", "drain: must be an object in braces"),
                Arguments.of("\"resume\"", "\"resum\"", "resume: is missing; add the object"),
                Arguments.of("\"region\": ", "\"region\" ", ":4:12: is not JSON with comments"),
                Arguments.of(GOOD, "{\"a\": 1", "expected close marker for Object]"),
                Arguments.of(GOOD, "", "the file is empty"),
                Arguments.of(GOOD, "[]", "must be an object in braces"));
    }

    @ParameterizedTest
    @MethodSource("mistakes")
    void namesPlaceAndRemedy(String old, String wrong, String message) throws IOException {
        SettingsResult.Invalid invalid = (SettingsResult.Invalid) read(GOOD.replace(old, wrong));
        String all = invalid.problems().toString();
        assertWithMessage(all).that(all).contains(message);
    }

    @Test
    void reportsAllProblemsAtOnce() throws IOException {
        String text =
                GOOD.replace("8080", "-1").replace("\"sul\"", "7").replace(": 100}", ": true}");
        SettingsResult.Invalid invalid = (SettingsResult.Invalid) read(text);
        assertThat(invalid.problems()).hasSize(3);
    }

    @ParameterizedTest
    @ValueSource(strings = {"southern-mill", "travesia"})
    void examplesAreSound(String site) throws IOException {
        Path folder = Path.of("..", "examples", site);
        for (int i = 1; i <= 8; i++) {
            SettingsResult result = SettingsReader.read(folder.resolve("entry-" + i + ".json"));
            assertThat(result).isInstanceOf(SettingsResult.Valid.class);
            TableCheck.check(((SettingsResult.Valid) result).settings());
        }
    }

    @Test
    void shortKeyIsRefused() throws IOException {
        Files.writeString(mFolder.resolve("key"), "short");
        SettingsResult.Invalid invalid = (SettingsResult.Invalid) read(GOOD);
        assertThat(invalid.problems().getFirst().message()).contains("needs 32 bytes or more");
    }
}
