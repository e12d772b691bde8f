/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;

/** Tests {@code SharedEvidence}. */
final class SharedEvidenceTest {
    private static final Incarnation ENGINE = Incarnation.startedAt("e", 10);
    private static final List<Incarnation> AVAILABLE =
            List.of(ENGINE, Incarnation.startedAt("f", 1), Incarnation.startedAt("g", 1));

    private final ManualClock mClock = new ManualClock();
    private final AtomicBoolean mInForce = new AtomicBoolean(true);
    private final SharedEvidence mEvidence =
            new SharedEvidence("n0", "a", () -> 3, mInForce::get, mClock);

    private void digest(String voter, UpstreamEvidence evidence) {
        mEvidence.onDigest(voter, new EvidenceDigest(List.of(evidence)));
    }

    private static UpstreamEvidence failing(Incarnation upstream, String... witnesses) {
        List<Witness> list =
                List.of(witnesses).stream()
                        .map(witness -> new Witness(witness, witness.substring(0, 1), 10))
                        .toList();
        return new UpstreamEvidence(upstream, list, UpstreamEvidence.NEVER, 0.05, 0, 0);
    }

    private static UpstreamEvidence slow(double log, double weight) {
        return new UpstreamEvidence(ENGINE, List.of(), UpstreamEvidence.NEVER, 0, log, weight);
    }

    private Set<String> ejected() {
        return mEvidence.ejected(AVAILABLE);
    }

    /** Guards against a witness that only one of several voters of the zone knows being lost. */
    @Test
    void witnessesOfAllVotersCount() {
        digest("v1", failing(ENGINE, "a1"));
        assertThat(ejected()).isEmpty();
        digest("v2", failing(ENGINE, "b1"));
        assertThat(ejected()).containsExactly("e");
    }

    /** Guards against one entry that two voters report counting as two. */
    @Test
    void aWitnessThatTwoVotersReportCountsOnce() {
        digest("v1", failing(ENGINE, "a1"));
        digest("v2", failing(ENGINE, "a1"));
        assertThat(ejected()).isEmpty();
    }

    /** Guards against a restarted engine being avoided for what its predecessor did. */
    @ParameterizedTest
    @CsvSource({"9, false", "10, true", "11, false"})
    void evidenceIsOnlyAboutTheRegisteredIncarnation(long registeredStart, boolean ejected) {
        digest("v1", failing(ENGINE, "a1", "b1"));
        Incarnation registered = Incarnation.startedAt("e", registeredStart);
        mEvidence.onRegistration(registered);
        digest("v2", failing(ENGINE, "a1", "b1"));
        Set<String> ids = mEvidence.ejected(List.of(registered, AVAILABLE.get(1)));
        assertThat(ids.contains("e")).isEqualTo(ejected);
    }

    /** Guards against probes of all entries, and against more than one of this entry. */
    @Test
    void oneProbeAtATimeDecides() {
        digest("v1", failing(ENGINE, "a1", "b1"));
        mClock.advance(Duration.ofMillis(1_999));
        assertThat(ejected()).containsExactly("e");
        // The end of the ejection, the wait of the others, and the whole spread of their probes.
        mClock.advance(Duration.ofMillis(3_001));
        assertThat(ejected()).isEmpty();
        mEvidence.chosen(ENGINE);
        assertThat(ejected()).containsExactly("e");
        mEvidence.failed(ENGINE);
        mClock.advance(Duration.ofMillis(3_999));
        assertThat(ejected()).containsExactly("e");
        mClock.advance(Duration.ofMillis(3_001));
        assertThat(ejected()).isEmpty();
        mEvidence.chosen(ENGINE);
        mEvidence.succeeded(ENGINE);
        mEvidence.chosen(ENGINE);
        assertThat(ejected()).isEmpty();
    }

    /** Guards against a probe whose request was cancelled blocking the engine for good. */
    @Test
    void aProbeWithoutResultExpires() {
        digest("v1", failing(ENGINE, "a1", "b1"));
        mClock.advance(Duration.ofSeconds(5));
        mEvidence.chosen(ENGINE);
        mClock.advance(Duration.ofMillis(1_999));
        assertThat(ejected()).containsExactly("e");
        mClock.advance(Duration.ofMillis(1));
        assertThat(ejected()).isEmpty();
    }

    /** Guards against an entry without links to voters avoiding engines on its own word. */
    @Test
    void ownFailuresAloneEjectNothing() {
        for (int i = 0; i < 20; i++) {
            mEvidence.failed(ENGINE);
            mClock.advance(Duration.ofMillis(100));
        }
        assertThat(ejected()).isEmpty();
    }

    /** Guards against evidence that outlives a voter. */
    @Test
    void evidenceOfASilentVoterIsDiscarded() {
        digest("v1", slow(1, 100));
        mClock.advance(Duration.ofMillis(60_001));
        assertThat(mEvidence.slowness("e")).isWithin(0.2).of(Math.exp(0.75));
        digest("v2", new UpstreamEvidence(AVAILABLE.get(1), List.of(), -1, 0, 0, 1));
        assertThat(mEvidence.slowness("e")).isEqualTo(1);
        assertThat(mEvidence.toString()).contains("1 upstreams held");
    }

    /** Guards against a voter with few measurements weighing as much as one with many. */
    @Test
    void slownessIsAveragedByWeightAndDecays() {
        digest("v1", slow(Math.log(2), 30));
        digest("v2", slow(0, 10));
        double mean = 0.75 * Math.log(2);
        assertThat(mEvidence.slowness("e")).isWithin(1e-6).of(Math.exp(mean * 40 / 44));
        mClock.advance(Duration.ofSeconds(20));
        assertThat(mEvidence.slowness("e")).isWithin(1e-6).of(Math.exp(mean * 20 / 24));
        assertThat(mEvidence.slowness("other")).isEqualTo(1);
    }

    /** Guards against numbers of a faulty voter that make every comparison of costs false. */
    @ParameterizedTest
    @CsvSource({"NaN, 5, NaN", "Infinity, 5, 7", "1, NaN, -1", "1, Infinity, Infinity"})
    void invalidNumbersHaveNoEffect(double log, double weight, double share) {
        digest("v1", new UpstreamEvidence(ENGINE, List.of(), -1, share, log, weight));
        assertThat(mEvidence.slowness("e")).isAtLeast(SlownessRule.MIN);
        assertThat(mEvidence.slowness("e")).isAtMost(SlownessRule.MAX);
        assertThat(mEvidence.failureShare("e")).isAtLeast(0.0);
        assertThat(mEvidence.failureShare("e")).isAtMost(1.0);
    }

    /** Guards against decisions that depend on evidence in a site without shared state. */
    @Test
    void nothingIsHeldWhileNotInForce() {
        digest("v1", failing(ENGINE, "a1", "b1"));
        digest("v1", slow(1, 100));
        mInForce.set(false);
        assertThat(ejected()).isEmpty();
        assertThat(mEvidence.slowness("e")).isEqualTo(1);
        assertThat(mEvidence.failureShare("e")).isEqualTo(0);
        digest("v1", failing(ENGINE, "a1", "b1"));
        mEvidence.failed(ENGINE);
        assertThat(mEvidence.toString()).contains("0 upstreams held");
        mInForce.set(true);
        assertThat(ejected()).isEmpty();
    }
}
