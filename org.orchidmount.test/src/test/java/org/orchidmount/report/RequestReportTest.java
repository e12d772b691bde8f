/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.report;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@code RequestReport}. */
final class RequestReportTest {
    @ParameterizedTest
    @EnumSource
    void whatIsWrittenIsRead(RequestEnd end) {
        RequestReport report = report(end, 3_200, 6_400);
        assertThat(RequestReport.parse("request: " + report.toLine())).isEqualTo(report);
    }

    @ParameterizedTest
    @CsvSource({
        "IN_TIME, 3200, 0",
        "IN_TIME, 6400, 3200",
        "LATE_FOR_ROOM, 3200, 0",
        "REFUSED_NO_ROOM, 0, 0",
        "CUT, 3200, 3200"
    })
    void whatWasPrefilledWithoutServingIsWasted(RequestEnd end, int prefilled, int wasted) {
        assertThat(report(end, 3_200, prefilled).wastedTokens()).isEqualTo(wasted);
    }

    @ParameterizedTest
    @CsvSource({
        "request: id-1, has no outcome",
        "request: id-1 SOMEHOW service=s, SOMEHOW",
        "request: id-1 CUT service, has no value",
        "request: id-1 CUT service=s retry=true attempts=two, attempts=two",
        "request: id-1 CUT service=s retry=true, attempts is missing"
    })
    void aLineThatIsNotWholeIsRefusedWithItsReason(String line, String reason) {
        Exception e = assertThrows(IllegalArgumentException.class, () -> RequestReport.parse(line));
        assertThat(e).hasMessageThat().contains(reason);
    }

    /** Guards against logs of earlier builds, or of services without ranks, that are not read. */
    @ParameterizedTest
    @ValueSource(strings = {"", " account=mill", " route=- urgency=-"})
    void aLineWithoutRouteAndUrgencyIsRead(String fields) {
        String whole = report(RequestEnd.IN_TIME, 1, 1).toLine();
        String earlier = whole.substring(0, whole.indexOf(" account=")) + fields;
        RequestReport read = RequestReport.parse("request: " + earlier);
        assertThat(read.route()).isEqualTo(RequestReport.NO_ROUTE);
        assertThat(read.urgency()).isEqualTo(OptionalInt.empty());
        assertThat(read.urgencyText()).isEqualTo("-");
    }

    @Test
    void routeAndUrgencyAreWritten() {
        assertThat(report(RequestEnd.IN_TIME, 1, 1).toLine()).contains(" route=r-1 urgency=2 ");
    }

    /** Guards against a reader that rejects the lines of instances of an earlier version. */
    @Test
    void aLineWithoutTheFieldsOfTheQueueIsRead() {
        String line = report(RequestEnd.IN_TIME, 3_200, 0).toLine();
        String earlier = line.substring(0, line.indexOf(" waitAhead="));
        RequestReport report = RequestReport.parse("request: " + earlier);
        assertThat(report.waitAhead()).isEqualTo(0);
        assertThat(report.backInMillis()).isEqualTo(RequestReport.NO_RETRY_MILLIS);
    }

    @Test
    void otherLinesAreNoReports() {
        assertThat(RequestReport.isReport("relay: id-1: attempt 1")).isFalse();
    }

    private static RequestReport report(RequestEnd end, int prompt, int prefilled) {
        return new RequestReport(
                "id-1",
                end,
                "s",
                true,
                2,
                prompt,
                prefilled,
                120,
                340,
                610,
                55,
                3_900,
                "i-1",
                "acme",
                "r-1",
                OptionalInt.of(2),
                4,
                2_100,
                "front-2",
                "v1.1",
                "CONTINUED");
    }
}
