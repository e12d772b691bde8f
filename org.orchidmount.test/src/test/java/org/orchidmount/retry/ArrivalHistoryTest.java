/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.retry.ArrivalHistory.Phase;
import org.orchidmount.retry.ArrivalHistory.Result;

/** Tests {@link ArrivalHistory} by what the users' pages say of each arrival. */
final class ArrivalHistoryTest {
    /** Guards against arrivals that are counted otherwise than the users count them. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "the first arrival is no repeat | run arrived | 0",
                "each further one is | run arrived, run arrived | 1",
                "those that are rejected count as well | run arrived, run arrived, run accepted |"
                        + " 2",
                "a first call that reads the prompt is free | prefill accepted, run accepted | 0",
                "a read that is rejected counts | prefill arrived, run accepted | 1",
                "each rejected read counts | prefill arrived, prefill arrived, run accepted | 2",
                "the first that is taken up is free after a rejected one"
                        + " | prefill arrived, prefill accepted, run accepted | 1",
                "every further read counts | prefill accepted, run arrived, prefill accepted | 1",
                "a read again and its run count"
                        + " | prefill accepted, run arrived, prefill accepted, run accepted | 2",
                "a stream that goes on counts | run accepted, run accepted | 1",
                "what may have arrived counts | run arrived, run arrived | 1",
                "what was not sent does not | run not_sent, prefill not_sent, run accepted | 0",
                "a rejected read, its repeat and two rejected runs"
                        + " | prefill arrived, prefill accepted, run arrived, run arrived | 2"
            })
    void retriesAreCounted(String line, String sent, int retries) {
        ArrivalHistory history = ArrivalHistory.NONE;
        int charged = 0;
        for (String each : sent.split(", ")) {
            Phase phase = Phase.valueOf(each.split(" ")[0].toUpperCase(Locale.ROOT));
            Result result = Result.valueOf(each.split(" ")[1].toUpperCase(Locale.ROOT));
            int permits = history.permitsBefore(phase);
            int before = history.retries();
            history = history.after(phase, result);
            assertWithMessage(line + ": " + each)
                    .that(history.retries() - before)
                    .isAtMost(permits);
            charged += history.retries() - before;
        }
        assertWithMessage(line).that(charged).isEqualTo(retries);
    }

    /** Guards against a prefill for a run that may not be sent. */
    @ParameterizedTest
    @CsvSource({"0, false, 0", "1, false, 1", "0, true, 1", "1, true, 2", "3, true, 2"})
    void aPrefillNeedsThePermitOfItsRun(int counted, boolean isPrefillAccepted, int permits) {
        ArrivalHistory history = new ArrivalHistory(counted, isPrefillAccepted);
        assertThat(history.permitsBefore(Phase.PREFILL)).isEqualTo(permits);
    }
}
