/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;

/** Tests {@code EvidenceCollector}. */
final class EvidenceCollectorTest {
    private static final Incarnation ENGINE = Incarnation.startedAt("e", 1);

    private final ManualClock mClock = new ManualClock();
    private final AtomicBoolean mInForce = new AtomicBoolean(true);
    private final EvidenceCollector mCollector = new EvidenceCollector(mInForce::get, mClock);
    private final AtomicInteger mUrgent = new AtomicInteger();

    /** Guards against observations that are lost, or reported twice. */
    @Test
    void aReportContainsWhatWasObservedSinceTheLast() {
        mCollector.succeeded(ENGINE);
        mCollector.succeeded(ENGINE);
        mCollector.failed(ENGINE);
        mCollector.unreachable(ENGINE);
        mCollector.measured(ENGINE, 200, 100);
        mCollector.measured(ENGINE, 100, 100);
        List<UpstreamObservations> observed = mCollector.drain().get().observations();
        assertThat(observed)
                .containsExactly(new UpstreamObservations(ENGINE, 2, 1, 1, Math.log(2), 2));
        assertThat(mCollector.drain()).isEmpty();
    }

    /** Guards against each failure of a dark engine causing a message. */
    @Test
    void aFailureIsUrgentOnceASecond() {
        mCollector.onUrgent(mUrgent::incrementAndGet);
        mCollector.succeeded(ENGINE);
        assertThat(mCollector.isUrgent()).isFalse();
        mCollector.failed(ENGINE);
        mCollector.failed(ENGINE);
        assertThat(mCollector.isUrgent()).isTrue();
        assertThat(mUrgent.get()).isEqualTo(1);
        assertThat(mCollector.drain()).isPresent();
        assertThat(mCollector.isUrgent()).isFalse();
        mClock.advance(Duration.ofMillis(999));
        mCollector.unreachable(ENGINE);
        assertThat(mCollector.isUrgent()).isFalse();
        mClock.advance(Duration.ofMillis(1));
        mCollector.unreachable(ENGINE);
        assertThat(mCollector.isUrgent()).isTrue();
        assertThat(mUrgent.get()).isEqualTo(2);
    }

    /** Guards against a report above its bound, and against failures behind successes. */
    @Test
    void aReportIsBoundedAndHasFailuresFirst() {
        for (int i = 0; i < 100; i++) {
            mCollector.succeeded(Incarnation.startedAt("e" + i, 1));
        }
        mCollector.failed(ENGINE);
        Set<Incarnation> reported = new HashSet<>();
        List<UpstreamObservations> first = mCollector.drain().get().observations();
        assertThat(first).hasSize(EvidenceReport.MAX_UPSTREAMS);
        assertThat(first.getFirst().upstream()).isEqualTo(ENGINE);
        first.forEach(observed -> reported.add(observed.upstream()));
        mCollector.drain().get().observations().forEach(o -> reported.add(o.upstream()));
        assertThat(reported).hasSize(101);
    }

    /** Guards against unbounded memory if reports cannot be sent. */
    @Test
    void pendingObservationsAreBounded() {
        for (int i = 0; i < 2 * EvidenceCollector.MAX_PENDING; i++) {
            mCollector.failed(Incarnation.startedAt("e" + i, 1));
        }
        int reports = 0;
        while (mCollector.drain().isPresent()) {
            reports++;
        }
        assertThat(reports).isEqualTo(EvidenceCollector.MAX_PENDING / EvidenceReport.MAX_UPSTREAMS);
    }

    /** Guards against messages of a site that has not set shared state. */
    @Test
    void nothingIsCollectedWhileNotInForce() {
        mCollector.onUrgent(mUrgent::incrementAndGet);
        mCollector.succeeded(ENGINE);
        mInForce.set(false);
        mCollector.failed(ENGINE);
        assertThat(mCollector.drain()).isEmpty();
        assertThat(mCollector.isUrgent()).isFalse();
        assertThat(mUrgent.get()).isEqualTo(0);
        mInForce.set(true);
        assertThat(mCollector.drain()).isEmpty();
    }
}
