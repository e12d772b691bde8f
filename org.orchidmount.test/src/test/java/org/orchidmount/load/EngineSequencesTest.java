/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.MemoryForecast;

/** The sequences of engines are given as of now, and their ends are reported. */
final class EngineSequencesTest {
    private final ManualClock mClock = new ManualClock();
    private final EngineLoads mLoads = new EngineLoads(mClock);

    private static InFlightSequence sequence(String id, String engine) {
        return InFlightSequence.ofOutput(id, 1_000, 4_900, 10_000)
                .placedAt(Incarnation.ofUnknownStart(engine), 1)
                .withGenerated(100);
    }

    /**
     * Guards against a forecast by tokens as announced, up to 1.6 s ago, or by one speed for all.
     */
    @Test
    void sequencesProgressAtTheSpeedOfTheirEngine() {
        mLoads.update(sequence("a", "e1"));
        mLoads.update(sequence("b", "e2"));
        mLoads.update(sequence("c", "e3"));
        mLoads.update(sequence("c", "e3").asEnded());
        mClock.advance(Duration.ofMillis(100));
        Map<String, List<MemoryForecast.Sequence>> sequences =
                mLoads.sequences(
                        Map.of("e1", speed(1), "e2", speed(2), "e3", speed(1), "e4", speed(1)));
        assertThat(sequences)
                .containsExactly(
                        "e1", List.of(new MemoryForecast.Sequence(1_000, 200, 4_900, 10_000)),
                        "e2", List.of(new MemoryForecast.Sequence(1_000, 300, 4_900, 10_000)),
                        "e3", List.of(),
                        "e4", List.of());
    }

    /** Guards against waiting requests that sleep on when a sequence ends. */
    @Test
    void onlyEndsAreReported() {
        AtomicInteger ends = new AtomicInteger();
        mLoads.setEndObserver(ends::incrementAndGet);
        mLoads.update(sequence("a", "e1"));
        assertThat(ends.get()).isEqualTo(0);
        mLoads.update(sequence("a", "e1").asEnded());
        assertThat(ends.get()).isEqualTo(1);
    }

    private static EngineSpeed speed(double tokensPerMilli) {
        return new EngineSpeed(0.02, 0.04, tokensPerMilli, 150, 3_000);
    }
}
