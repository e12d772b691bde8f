/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** {@code orchidmount explain} on logs written for the purpose. */
final class ExplainTest {
    private static final String SERVED =
            "service=s retry=false attempts=1 promptTokens=3200 prefilledTokens=3200 roomMillis=60"
                    + " prefillMillis=140 firstMillis=260 pauseMillis=55 totalMillis=3900"
                    + " upstream=i-1";
    private static final String REFUSED =
            "service=s retry=false attempts=0 promptTokens=5000 prefilledTokens=0 roomMillis=540"
                    + " prefillMillis=0 firstMillis=-1 pauseMillis=0 totalMillis=540 upstream=-";

    @TempDir Path mFolder;
    private Path mFirst;
    private Path mSecond;

    private record Run(int code, String out, String err) {}

    @BeforeEach
    void write() throws IOException {
        mFirst = mFolder.resolve("entry-1.log");
        mSecond = mFolder.resolve("entry-2.log");
        Files.write(
                mFirst,
                List.of(
                        line("10:00:01.5", "main: instance entry-1 starts"),
                        line("10:00:02.1", "request: aa11 IN_TIME " + SERVED),
                        line("10:00:02.7", "request: bb22 REFUSED_NO_ROOM " + REFUSED),
                        line("10:00:03.2", "request: cc33 CUT " + SERVED)));
        Files.write(
                mSecond,
                List.of(
                        "  3.2 entry-2 " + line("10:00:02.0", "relay: aa11: attempt 1 at i-9"),
                        "  3.3 entry-2 "
                                + line("10:00:03.1", "request: dd44 LATE_FOR_ROOM " + SERVED),
                        "not from an instance"));
    }

    private static String line(String time, String message) {
        return "{\"time\":\"2026-01-02T%sZ\",\"level\":\"INFO\",\"message\":\"%s\"}"
                .formatted(time, message);
    }

    private static Run explain(Object... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        String[] command = new String[arguments.length + 1];
        command[0] = "explain";
        for (int i = 0; i < arguments.length; i++) {
            command[i + 1] = arguments[i].toString();
        }
        int code = Main.run(new PrintWriter(out, true), new PrintWriter(err, true), command);
        return new Run(code, out.toString(), err.toString());
    }

    @Test
    void causesAndSecondsAreSummedOverAllFiles() {
        Run run = explain(mFirst, mSecond);
        assertThat(run.err()).isEmpty();
        assertThat(run.code()).isEqualTo(0);
        assertThat(run.out().lines().map(String::strip).toList())
                .containsAtLeast(
                        "IN_TIME          1         3200           0              60       140"
                                + "         260       55",
                        "LATE_FOR_ROOM    1         3200           0              60       140"
                                + "         260       55",
                        "REFUSED_NO_ROOM  1         5000           0              540      0"
                                + "           -1        0",
                        "CUT              1         3200           3200           60       140"
                                + "         260       55",
                        "2026-01-02T10:00:02Z  1        0     1        0       0     0",
                        "2026-01-02T10:00:03Z  0        1     0        1       0     3200");
    }

    @Test
    void theStoryOfARequestIsToldInTheOrderOfTime() {
        Run run = explain("--id", "aa11", mFirst, mSecond);
        assertThat(run.out().lines().toList())
                .containsExactly(
                        "2026-01-02T10:00:02Z 3.2 entry-2 relay: aa11: attempt 1 at i-9",
                        "2026-01-02T10:00:02.100Z entry-1.log request: aa11 IN_TIME " + SERVED)
                .inOrder();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "account | -        0        1     0        0       0     0",
                "account | mill     1        0     1        0       0     0",
                "SERVICE | s        1        1     1        0       0     0",
                "upstream | i-1       1        1     0        0       0     0"
            })
    void requestsAreSummedByOtherProperties(String group, String row) throws IOException {
        Path file = mFolder.resolve("accounts.log");
        Files.write(
                file,
                List.of(
                        line("10:00:02.1", "request: aa11 IN_TIME " + SERVED + " account=mill"),
                        line("10:00:02.2", "request: bb22 LATE_FOR_ROOM " + SERVED),
                        line(
                                "10:00:02.3",
                                "request: cc33 REFUSED_OVER_LIMIT " + REFUSED + " account=mill")));
        Run run = explain("--by", group, file);
        assertThat(run.code()).isEqualTo(0);
        assertThat(run.out().lines().map(String::strip).toList()).contains(row);
    }

    private Path ranked() throws IOException {
        Path file = mFolder.resolve("ranked.log");
        String chat = " account=mill route=chat urgency=0";
        String bulk = " account=port route=bulk urgency=1";
        Files.write(
                file,
                List.of(
                        line("10:00:00.5", "request: a0 IN_TIME " + SERVED + chat),
                        line("10:00:12.1", "request: a1 IN_TIME " + SERVED + chat),
                        line("10:00:12.2", "request: a2 LATE_FOR_ROOM " + SERVED + chat),
                        line("10:00:12.3", "request: b1 IN_TIME " + SERVED + bulk),
                        line("10:00:12.4", "request: b2 REFUSED_FOR_URGENT " + REFUSED + bulk),
                        line("10:00:12.5", "request: b3 REFUSED_FOR_URGENT " + REFUSED + bulk),
                        line(
                                "10:00:12.6",
                                "request: c1 IN_TIME "
                                        + SERVED.replace("service=s", "service=t")
                                        + " account=mill route=other urgency=0")));
        return file;
    }

    /** Guards against shares and waits that do not tell classes and accounts apart. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "route | bulk   1        0     2        0       0     0",
                "route | bulk   3         43        20           33        540      540  540",
                "urgency | 0        3        1     0        0       0     0",
                "urgency | 1        3         43        20           33        540      540  540",
                "account | mill     4         57        80           100       60       60   60",
                "route,account,urgency | chat   mill     0        2        1     0        0       0"
                        + "     0",
                "route,account,urgency | bulk   port     1        3         43        20"
                        + "           33        540      540  540"
            })
    void sharesAndWaitsAreSummedByClassAndAccount(String groups, String row) throws IOException {
        Run run = explain("--by", groups, ranked());
        assertThat(run.err()).isEmpty();
        assertThat(run.out().lines().map(String::strip).toList()).contains(row);
    }

    /** Guards against a favoured class that is of another service, or that came long before. */
    @Test
    void aRefusalForUrgentNamesWhomItFavoured() throws IOException {
        Run run = explain(ranked());
        assertThat(run.out().lines().map(String::strip).toList())
                .contains("bulk/port/1         2         chat/mill/0 (2)");
    }

    /** Guards against a table about urgency where it is not in force. */
    @Test
    void withoutRefusalsForUrgentNothingIsSaidOfThem() {
        assertThat(explain(mFirst, mSecond).out()).doesNotContain("URGENT");
    }

    /** Guards against an empty cell where only the log of another entry names the favoured. */
    @Test
    void favouredRequestsMayBeMissing() throws IOException {
        Path file = mFolder.resolve("one.log");
        String bulk = " account=port route=bulk urgency=1";
        Files.write(
                file,
                List.of(line("10:00:12.4", "request: b2 REFUSED_FOR_URGENT " + REFUSED + bulk)));
        assertThat(explain(file).out()).contains("not in these logs");
    }

    /** Guards against responses given up that the tool drops, or sums under another's cause. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "UPSTREAM_FAILED    CHUNKED  2          1300   13     0",
                "UPSTREAM_FAILED    CLOSE    1          400    4      1",
                "INSTANCE_STOPS     CHUNKED  1          7300   73     0"
            })
    void responsesGivenUpAreSummedByCauseAndFraming(String row) throws IOException {
        Run run = explain(aborted());
        assertThat(run.err()).isEmpty();
        assertThat(run.out().lines().map(String::strip).toList()).contains(row);
    }

    @Test
    void theStoryOfARequestNamesTheResponseGivenUp() throws IOException {
        assertThat(explain("--id", "b2", aborted()).out())
                .contains("aborted response: b2 UPSTREAM_FAILED framing=CLOSE bytes=400");
    }

    /** Guards against a table of aborted responses where there are none. */
    @Test
    void withoutResponsesGivenUpNothingIsSaidOfThem() {
        assertThat(explain(mFirst, mSecond).out()).doesNotContain("ABORTED");
    }

    @Test
    void anUnknownCauseIsNamedAndSkipped() throws IOException {
        Path file = mFolder.resolve("unknown.log");
        Files.write(file, List.of(aborted("a1", "WEATHER", "CHUNKED", 1, "closed")));
        assertThat(explain(file).err()).contains("a report is skipped: ");
    }

    private Path aborted() throws IOException {
        Path file = mFolder.resolve("aborted.log");
        Files.write(
                file,
                List.of(
                        aborted("a1", "UPSTREAM_FAILED", "CHUNKED", 12, "closed"),
                        aborted("a2", "UPSTREAM_FAILED", "CHUNKED", 1, "closed"),
                        aborted("b2", "UPSTREAM_FAILED", "CLOSE", 4, "reset"),
                        aborted("c3", "INSTANCE_STOPS", "CHUNKED", 73, "closed")));
        return file;
    }

    private static String aborted(
            String id, String cause, String framing, int parts, String connection) {
        return line(
                "10:00:04.1",
                "http: aborted response: %s %s framing=%s bytes=%d parts=%d connection=%s why"
                        .formatted(id, cause, framing, 100 * parts, parts, connection));
    }

    @Test
    void whatIsNoPropertyIsWrongUsage() {
        assertThat(explain("--by", "weather", mFirst).code()).isEqualTo(2);
    }

    @Test
    void aRequestThatNoLogNamesIsAnError() {
        Run run = explain("--id", "ee55", mFirst);
        assertThat(run.code()).isEqualTo(1);
        assertThat(run.err()).contains("no line names ee55; give the logs of all entries");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"time\":\"2026-01-02T10:00:02Z\",\"mess | 2: no log line, skipped",
                "{\"time\":\"yesterday\",\"message\":\"a\"} | 2: no log line, skipped",
                "{\"time\":\"2026-01-02T10:00:02Z\"} | 2: no log line, skipped: it has no message",
                "{\"time\":\"2026-01-02T10:00:02Z\",\"message\":\"request: ff CUT\"} | a report is"
                        + " skipped: the field service is missing"
            })
    void whatCannotBeReadIsNamedAndSkipped(String broken, String problem) throws IOException {
        Path file = mFolder.resolve("broken.log");
        Files.write(
                file,
                List.of(
                        line("10:00:02.1", "request: aa11 IN_TIME " + SERVED),
                        broken,
                        line("10:00:02.7", "request: bb22 IN_TIME " + SERVED)));
        Run run = explain(file);
        assertThat(run.code()).isEqualTo(0);
        assertThat(run.err()).contains(problem);
        assertThat(run.out()).containsMatch("IN_TIME +2 ");
    }

    @Test
    void bytesThatAreNoTextAreSkipped() throws IOException {
        Path file = mFolder.resolve("bytes.log");
        Files.write(file, new byte[] {'{', (byte) 0xff, (byte) 0xfe, '\n'});
        Files.write(
                file,
                ("\n" + line("10:00:02.1", "request: aa11 IN_TIME " + SERVED) + "\n")
                        .getBytes(StandardCharsets.UTF_8),
                StandardOpenOption.APPEND);
        Run run = explain(file);
        assertThat(run.err()).contains("bytes.log:1: no log line, skipped");
        assertThat(run.out()).containsMatch("IN_TIME +1 ");
    }

    @Test
    void aFileThatIsNotThereIsAnError() {
        Run run = explain(mFolder.resolve("none.log"));
        assertThat(run.code()).isEqualTo(1);
        assertThat(run.err()).contains("none.log cannot be read");
    }
}
