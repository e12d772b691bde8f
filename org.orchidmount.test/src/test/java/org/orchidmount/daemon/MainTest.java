/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the daemon's start: each failure has its exit code and names its remedy. */
class MainTest {
    private static final String SETTINGS =
            """
            {
              "instance": "e-1", "region": "sul", "zone": "blumenau",
              "callers": {"host": "127.0.0.1", "port": PORT},
              "operators": {"host": "127.0.0.1", "port": 0, "tokensFile": "operators.json"},
              "resume": {"keyFile": "resume.key"},
              "firstTableFile": "table.json"
            }
            """;
    private static final String TABLE =
            """
            {"id": "first", "edits": [
              {"kind": "pool", "row": {"name": "p", "role": "PLAIN"}}]}
            """;

    @TempDir Path mFolder;

    private record Run(int code, String output) {}

    private Run run(String port, String operators, String table, String... options)
            throws IOException, InterruptedException {
        Files.writeString(mFolder.resolve("resume.key"), "k".repeat(40));
        Files.writeString(mFolder.resolve("operators.json"), operators);
        Files.writeString(mFolder.resolve("table.json"), table);
        Path settings = mFolder.resolve("settings.json");
        Files.writeString(settings, SETTINGS.replace("PORT", port));
        Path output = mFolder.resolve("output");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-cp");
        command.add(
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(Main.class.getName());
        command.addAll(List.of(options));
        command.add(settings.toString());
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start();
        assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        return new Run(process.exitValue(), Files.readString(output));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "8080|[]|ok|0|is sound: instance e-1",
                "99999|[]|ok|3|settings.json:3:44: callers.port: is 99999; give a TCP port",
                "8080|[{\"name\":\"x\"}]|ok|3|each entry needs name, role",
                "8080|[]|{\"id\":\"x\"}|3|table.json: edits is missing; give a list of edits",
                "8080|[]|{\"id\":\"x\",\"edits\":[{\"kind\":\"fish\"}]}|3|unknown kind of row"
            })
    void checkNamesWhatIsWrong(
            String port, String operators, String table, int code, String message)
            throws Exception {
        Run run = run(port, operators, table.equals("ok") ? TABLE : table, "--check");
        assertThat(run.output()).contains(message);
        assertThat(run.code()).isEqualTo(code);
    }

    @Test
    void takenPortIsNamed() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String port = String.valueOf(taken.getLocalPort());
            Run run = run(port, "[]", TABLE);
            assertThat(run.output()).contains("cannot listen to callers on 127.0.0.1:" + port);
            assertThat(run.output()).contains("set another callers.port");
            assertThat(run.code()).isEqualTo(4);
        }
    }

    @Test
    void damagedFileIsNamed() throws Exception {
        Files.createDirectories(mFolder.resolve("data"));
        Files.writeString(mFolder.resolve("data/table.log"), "00000000 {}\n");
        Run run = run("0", "[]", TABLE);
        assertThat(run.output()).contains("table.log at byte 0 is damaged");
        assertThat(run.code()).isEqualTo(4);
    }
}
