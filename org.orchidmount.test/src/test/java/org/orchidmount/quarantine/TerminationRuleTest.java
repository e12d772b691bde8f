/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.quarantine.TerminationProbe.Finding;
import org.orchidmount.quarantine.TerminationRule.Circumstances;
import org.orchidmount.quarantine.TerminationRule.Witness;

/** When a broken connection is a crash of the upstream, and when it is the path's fault. */
final class TerminationRuleTest {
    /** A witness is written as its finding, with a plus if it reaches other upstreams. */
    private static List<Witness> witnesses(String text) {
        return Arrays.stream(text.split(" "))
                .filter(each -> !each.equals("none"))
                .map(
                        each ->
                                new Witness(
                                        Finding.valueOf(each.replace("+", "")), each.endsWith("+")))
                .toList();
    }

    /**
     * Guards against crashes that are counted because a path is lost or a witness is slow, and
     * against crashes that are missed behind a cut.
     */
    @ParameterizedTest
    @CsvSource({
        // own finding, witnesses, knows others, reaches others, has terminated
        "ENDED,   none,           false, false, true",
        "ENDED,   none,           true,  true,  true",
        "ENDED,   none,           true,  false, false",
        "ENDED,   LISTENS+,       true,  true,  false",
        "ENDED,   ENDED+,         true,  false, true",
        "ENDED,   ENDED,          true,  false, false",
        "ENDED,   SILENT,         true,  false, false",
        "ENDED,   ENDED SILENT,   true,  false, false",
        "ENDED,   ENDED LISTENS+, true,  false, false",
        "ENDED,   ENDED+ SILENT,  true,  false, true",
        "SILENT,  none,           true,  true,  false",
        "SILENT,  none,           false, false, false",
        "SILENT,  ENDED+,         true,  false, true",
        "SILENT,  SILENT,         true,  false, false",
        "LISTENS, ENDED+,         true,  true,  false",
    })
    void onlyWhoReachesOtherUpstreamsTellsThatOneHasTerminated(
            Finding own,
            String witnesses,
            boolean knowsOthers,
            boolean reachesOthers,
            boolean hasTerminated) {
        Circumstances circumstances =
                new Circumstances(witnesses(witnesses), knowsOthers, reachesOthers);
        assertThat(TerminationRule.hasTerminated(own, circumstances)).isEqualTo(hasTerminated);
    }
}
