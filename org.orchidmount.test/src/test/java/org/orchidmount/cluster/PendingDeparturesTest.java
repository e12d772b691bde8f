/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a departure that is confirmed although fewer voters than a quorum hold it. */
final class PendingDeparturesTest {
    @ParameterizedTest
    @CsvSource({
        // quorum, voters that reply, in the order of their replies, whether that confirms it
        "1, '', true",
        "2, '', false",
        "2, b, true",
        "3, b b, false",
        "3, b b b, false",
        "3, b c, true",
        "3, b b c, true",
    })
    void eachVoterCountsOnce(int quorum, String replies, boolean isConfirmed) {
        PendingDepartures departures = new PendingDepartures();
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        long number = departures.begin(done);
        departures.complete(number, quorum);
        for (String voter : replies.split(" ")) {
            if (!voter.isEmpty()) {
                departures.acknowledge(number, new HostPort(voter, 1), quorum);
            }
        }
        assertThat(done.isDone()).isEqualTo(isConfirmed);
    }
}
