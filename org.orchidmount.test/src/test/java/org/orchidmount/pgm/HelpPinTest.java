/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.Pin;

/** The help of each subcommand and the exit codes of wrong calls stay as they were. */
final class HelpPinTest {
    private static final List<List<String>> CALLS =
            List.of(
                    List.of("--help"),
                    List.of("status", "--help"),
                    List.of("upstreams", "--help"),
                    List.of("table", "--help"),
                    List.of("table", "get", "--help"),
                    List.of("table", "set", "--help"),
                    List.of("table", "delete", "--help"),
                    List.of("table", "export", "--help"),
                    List.of("table", "import", "--help"),
                    List.of("drain", "--help"),
                    List.of("undrain", "--help"),
                    List.of("requests", "--help"),
                    List.of("audit", "--help"),
                    List.of("explain", "--help"),
                    List.of("explain"),
                    List.of("version", "--help"),
                    List.of(),
                    List.of("no-such-command"),
                    List.of("status", "--no-such-option"),
                    List.of("--operators", "http://127.0.0.1:1", "--token", "t", "status"));

    @Test
    void helpStaysAsItWas() {
        List<String> lines = new ArrayList<>();
        for (List<String> call : CALLS) {
            StringWriter out = new StringWriter();
            StringWriter err = new StringWriter();
            int code =
                    Main.run(
                            new PrintWriter(out, true),
                            new PrintWriter(err, true),
                            call.toArray(String[]::new));
            lines.add("orchidmount " + String.join(" ", call) + " ends with " + code);
            out.toString().lines().map("out: "::concat).forEach(lines::add);
            err.toString().lines().map("err: "::concat).forEach(lines::add);
        }
        Pin.check("help.txt", lines);
    }
}
