/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;

/** The command-line tool against a running daemon. */
class MainTest {
    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        sCluster = Cluster.start(sFolder, ClusterPlan.of(1, 1, 1, 1));
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    private record Run(int code, String out, String err) {}

    private static Run run(String token, String... command) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        String[] arguments = new String[command.length + 4];
        arguments[0] = "--operators";
        arguments[1] = sCluster.operatorUrl(0);
        arguments[2] = "--token";
        arguments[3] = token;
        System.arraycopy(command, 0, arguments, 4, command.length);
        int code = Main.run(new PrintWriter(out, true), new PrintWriter(err, true), arguments);
        return new Run(code, out.toString(), err.toString());
    }

    private static Run ops(String... command) {
        Run run = run(Cluster.OPERATOR_TOKEN, command);
        assertWithMessage(run.err()).that(run.code()).isEqualTo(0);
        return run;
    }

    @ParameterizedTest
    @CsvSource({
        "status, ready",
        "upstreams, prefill-1",
        "requests, REQUEST",
        "table get, pool",
        "table get model loom, kvBytesPerToken=1000",
        "audit, first-table",
        "version, orchidmount",
        "--output json status, \"ready\":true",
        "generate-completion, _complete_orchidmount",
        "help, Exit codes"
    })
    void shows(String command, String expected) {
        assertThat(ops(command.split(" ")).out()).contains(expected);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "2|ops-token|dance|Unmatched argument",
                "2|ops-token|table get fish|unknown kind of row 'fish'",
                "11|wrong|status|unknown_token",
                "11|eyes|drain decode-1|role_too_low",
                "13|ops-token|drain nobody|upstream nobody is not in the table",
                "13|ops-token|table set pool prefill maxRunning=-1|maxRunning is -1; give",
                "13|ops-token|table set pool prefill size=1|unknown field 'size'",
                "13|ops-token|table delete pool prefill|names 'prefill', which does not exist",
                "2|ops-token|table set pool prefill maxRunning|is no assignment; give FIELD=VALUE",
                "2|ops-token|table import /nowhere.csv|cannot read",
                "2|ops-token|table import /nowhere.xls|neither .csv nor .json",
                "2|ops-token|table export x.csv|name the kind"
            })
    void failuresHaveCodesAndRemedies(int code, String token, String command, String message) {
        Run run = run(token, command.split(" "));
        assertWithMessage(run.err()).that(run.code()).isEqualTo(code);
        assertThat(run.err()).contains(message);
    }

    @Test
    void unreachableInstanceHasItsCode() {
        StringWriter err = new StringWriter();
        int code =
                Main.run(
                        new PrintWriter(new StringWriter()),
                        new PrintWriter(err, true),
                        "--operators",
                        "http://127.0.0.1:1",
                        "--token",
                        "x",
                        "status");
        assertThat(code).isEqualTo(10);
        assertThat(err.toString()).contains("http://127.0.0.1:1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"csv", "json"})
    void exportedRowsCanBeEditedAndImportedOnce(String type) throws IOException {
        Path file = sFolder.resolve("rows." + type);
        ops("table", "export", file.toString(), "upstream");
        String text = Files.readString(file);
        String changed =
                type.equals("csv")
                        ? text.replace("blumenau", "caxias")
                        : text.replace("\"caxias\"", "\"blumenau\"")
                                .replace("\"zone\" : \"blumenau\"", "\"zone\" : \"joinville\"");
        assertThat(changed).isNotEqualTo(text);
        Files.writeString(file, changed);
        ops("table", "import", file.toString(), "--comment", "moved");
        String zone = type.equals("csv") ? "zone=caxias" : "zone=joinville";
        assertThat(ops("table", "get", "upstream", "decode-1").out()).contains(zone);
        Run again = run(Cluster.OPERATOR_TOKEN, "table", "import", file.toString());
        assertThat(again.code()).isEqualTo(12);
        assertThat(again.err()).contains("winnerAuthor\":\"ops");
    }

    @Test
    void resentChangeIsAppliedOnce() {
        String[] command = {
            "table", "set", "pool", "plain", "maxRunning=500", "--change-id", "resent"
        };
        String first = ops(command).out();
        assertThat(ops(command).out()).isEqualTo(first);
    }
}
