/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;

/** Tests {@code CrashReports}. */
final class CrashReportsTest {
    private static final RequestFingerprint REQUEST = Fingerprints.of("a");
    private static final String ADDRESS = "10.0.0.1:80";
    private static final Peer PEER = new Peer("i-1", "10.0.0.1", 80);

    private final ManualClock mClock = new ManualClock();
    private final CrashRegistry mRegistry = new CrashRegistry(mClock);
    private final List<CrashRecord> mAnnounced = new ArrayList<>();
    private volatile boolean mEnds;
    private TerminationProbe.Finding mFinding = TerminationProbe.Finding.LISTENS;
    private final CrashReports mReports =
            new CrashReports(
                    mRegistry,
                    mAnnounced::add,
                    peer -> mFinding,
                    (peer, longest) -> mEnds,
                    RunLock.UNCOORDINATED,
                    mClock);

    /** How a call to an upstream may fail. */
    private enum HowFailed {
        BROKEN(new Failure.Broken(Step.FORWARD, "i-1", "closed")),
        SILENT(new Failure.TimedOut(Step.FORWARD, "i-1", "no answer in time"));

        final Failure mFailure;

        HowFailed(Failure failure) {
            mFailure = failure;
        }
    }

    private void fail(HowFailed how, long startMillis) {
        Incarnation upstream =
                registration("i-1", startMillis, ADDRESS, Registration.State.READY).incarnation();
        CrashRecord after = CrashRecord.none(REQUEST).afterCrash(0, 0);
        mReports.suspectedCrash(how.mFailure, List.of(after), upstream, PEER);
    }

    private static Registration registration(
            String id, long startMillis, String address, Registration.State state) {
        Incarnation incarnation =
                startMillis == 0
                        ? Incarnation.ofUnknownStart(id)
                        : Incarnation.startedAt(id, startMillis);
        return new Registration(
                incarnation, "s", address, "a", 1, Registration.Stage.NONE, state, 1);
    }

    /** The upstream i-1, started at 5 or at no stated time, may have crashed. */
    @ParameterizedTest
    @CsvSource({
        "5, i-2, 0, 10.0.0.1:80, READY, 0, 1",
        "5, i-2, 9, 10.0.0.1:80, READY, 0, 1",
        "5, i-1, 9, 10.0.0.1:80, READY, 0, 1",
        "5, i-1, 9, 10.0.0.2:80, READY, 0, 1",
        "5, i-1, 5, 10.0.0.1:80, READY, 0, 0",
        "5, i-1, 4, 10.0.0.1:80, READY, 0, 0",
        "0, i-1, 0, 10.0.0.1:80, READY, 0, 0",
        "0, i-1, 9, 10.0.0.1:80, READY, 0, 0",
        "5, i-2, 0, 10.0.0.2:80, READY, 0, 0",
        "5, i-2, 0, 10.0.0.1:80, GONE, 0, 0",
        "5, i-2, 0, 10.0.0.1:80, READY, 11, 0",
    })
    void aCrashCountsOnceAnotherHasTakenThePlace(
            long startMillis,
            String otherId,
            long otherStartMillis,
            String otherAddress,
            Registration.State state,
            int afterSeconds,
            int crashes) {
        fail(HowFailed.BROKEN, startMillis);
        assertThat(mAnnounced).isEmpty();
        mClock.advance(Duration.ofSeconds(afterSeconds));
        Registration other = registration(otherId, otherStartMillis, otherAddress, state);
        mReports.registered(other);
        mReports.registered(other);
        assertThat(mRegistry.find(REQUEST).crashes()).isEqualTo(crashes);
        assertThat(mAnnounced).hasSize(crashes);
    }

    /** What is found at the address when the call has failed, and whether that counts at once. */
    @ParameterizedTest
    @CsvSource({
        "BROKEN, ENDED, 1",
        "BROKEN, LISTENS, 0",
        "BROKEN, SILENT, 0",
        "SILENT, ENDED, 0",
    })
    void aBrokenCallToAnUpstreamThatHasEndedCountsAtOnce(
            HowFailed how, TerminationProbe.Finding finding, int crashes) {
        mFinding = finding;
        fail(how, 5);
        assertThat(mRegistry.find(REQUEST).crashes()).isEqualTo(crashes);
    }

    @ParameterizedTest
    @EnumSource
    void itCountsHoweverTheCallFailedOnceAnotherHasTakenThePlace(HowFailed how) {
        fail(how, 5);
        mReports.registered(registration("i-2", 9, ADDRESS, Registration.State.READY));
        assertThat(mRegistry.find(REQUEST).crashes()).isEqualTo(1);
    }

    /** An upstream that says, a moment later, that it leaves has not crashed. */
    @ParameterizedTest
    @EnumSource(
            value = Registration.State.class,
            names = {"DRAINING", "GONE"})
    void anUpstreamThatLeavesByPlanHasNotCrashed(Registration.State state) {
        fail(HowFailed.BROKEN, 5);
        mReports.registered(registration("i-1", 5, ADDRESS, state));
        mReports.registered(registration("i-2", 9, ADDRESS, Registration.State.READY));
        assertThat(mRegistry.find(REQUEST).crashes()).isEqualTo(0);
    }

    @Test
    void copiesOfARequestRunOneAtATime() {
        assertThat(mReports.tryAcquireRunLock(REQUEST)).isTrue();
        assertThat(mReports.tryAcquireRunLock(REQUEST)).isFalse();
        assertThat(mReports.tryAcquireRunLock(Fingerprints.of("other"))).isTrue();
        mReports.releaseRunLock(REQUEST);
        assertThat(mReports.tryAcquireRunLock(REQUEST)).isTrue();
    }

    @Test
    void aRequestThatItsUpstreamSurvivedIsClearedEverywhere() {
        mReports.crashed(List.of(CrashRecord.none(REQUEST).afterCrash(0, 0)));
        mReports.survived(REQUEST);
        mReports.survived(REQUEST);
        assertThat(mAnnounced).hasSize(2);
        assertThat(mAnnounced.getLast().isSuspect()).isFalse();
        assertThat(mReports.toString()).isEqualTo("1 crashes, 0 requests refused, 0 quarantined");
    }

    /** The end of an upstream whose caller had left counts, unless it was planned. */
    @ParameterizedTest
    @CsvSource({"true, false, 1", "true, true, 0", "false, false, 0"})
    void anAbandonedRunIsWatched(boolean ends, boolean isPlanned, int crashes) throws Exception {
        mEnds = ends;
        CountDownLatch watched = new CountDownLatch(1);
        CrashRecord after = CrashRecord.none(REQUEST).afterCrash(0, 0);
        mReports.abandoned(List.of(after), PEER, () -> isPlanned, watched::countDown);
        assertThat(watched.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(mRegistry.find(REQUEST).crashes()).isEqualTo(crashes);
    }
}
