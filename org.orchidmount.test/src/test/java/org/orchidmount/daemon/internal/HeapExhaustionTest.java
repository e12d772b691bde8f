/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link HeapExhaustion} with processes of their own. */
final class HeapExhaustionTest {
    private static final long SECONDS = 30;

    /** Guards against processes that run on without a thread that they need. */
    @ParameterizedTest
    @CsvSource({
        "platform, heap, 70, the heap is exhausted",
        "virtual, heap, 70, the heap is exhausted",
        "platform, other, 0, lives on",
        "virtual, other, 0, lives on",
    })
    void aProcessEndsWithTheThreadThatExhaustsItsHeap(
            String thread, String error, int code, String line) throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx16m",
                                "-cp",
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                HeapExhaustionProgram.class.getName(),
                                thread,
                                error)
                        .redirectErrorStream(true)
                        .start();
        try {
            byte[] output = process.getInputStream().readAllBytes();
            String text = new String(output, StandardCharsets.UTF_8);
            assertThat(process.waitFor(SECONDS, TimeUnit.SECONDS)).isTrue();
            assertWithMessage(text).that(process.exitValue()).isEqualTo(code);
            assertThat(text).contains(line);
        } finally {
            process.destroyForcibly();
        }
    }
}
