/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.errors.Failure;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;

/**
 * What the requests of one instance report of crashes, and what they ask before they run.
 *
 * <p>Invariant: a crash counts only once it is proved that the upstream has ended. Thread-safe.
 */
public final class CrashReports {
    private static final PartLog LOG = PartLog.of("crash");

    /**
     * How long an upstream is watched after a run there was broken off: what crashes it does so
     * within some tens of milliseconds of its begin, and what goes on longer without its caller is
     * rare.
     */
    static final Duration WATCH_FOR = Duration.ofMillis(600);

    /** Upstreams watched at once at most; each costs a connection. */
    private static final int MOST_WATCHED = 256;

    private final CrashRegistry mRegistry;
    private final CrashAnnouncer mAnnouncer;
    private final EndProbe mProbe;
    private final EndWatch mWatch;
    private final SharedTurns mTurns;
    private final UnprovenCrashes mUnproven;
    private final RunningSuspects mRunning = new RunningSuspects();
    private final AtomicLong mCrashes = new AtomicLong();
    private final AtomicLong mRefusals = new AtomicLong();
    private final AtomicInteger mWatched = new AtomicInteger();

    /**
     * Creates it without any reports.
     *
     * @param registry holds the records
     * @param announcer passes them on
     * @param probe finds out whether an upstream has ended
     * @param watch finds out whether an upstream ends
     * @param turns gives turns over all instances
     * @param clock tells how long a proof has been awaited
     */
    public CrashReports(
            CrashRegistry registry,
            CrashAnnouncer announcer,
            EndProbe probe,
            EndWatch watch,
            SharedTurns turns,
            MonotonicClock clock) {
        mRegistry = registry;
        mAnnouncer = announcer;
        mProbe = probe;
        mWatch = watch;
        mTurns = turns;
        mUnproven = new UnprovenCrashes(clock);
    }

    /**
     * Tells whether no crash is known, so that nothing need be asked of any request.
     *
     * @return true if no records are held
     */
    public boolean isEmpty() {
        return mRegistry.isEmpty();
    }

    /**
     * Returns what is known of a request.
     *
     * @param fingerprint the request
     * @return its record
     */
    public CrashRecord find(RequestFingerprint fingerprint) {
        return mRegistry.find(fingerprint);
    }

    /**
     * Takes the turn to run a copy of a suspected request, here and over all instances.
     *
     * @param request the request
     * @return false if a copy runs
     */
    boolean tryBegin(RequestFingerprint request) {
        if (!mRunning.tryBegin(request)) {
            return false;
        }
        if (mTurns.tryTake(request)) {
            return true;
        }
        mRunning.end(request);
        return false;
    }

    /** Ends what {@link #tryBegin} has begun. */
    void end(RequestFingerprint request) {
        mTurns.end(request);
        mRunning.end(request);
    }

    /** Counts a request that was refused because it is quarantined. */
    public void refused() {
        mRefusals.incrementAndGet();
    }

    /**
     * Reports that an upstream has crashed.
     *
     * @param after the record of the request that it ran, this crash included
     */
    public void crashed(CrashRecord after) {
        mCrashes.incrementAndGet();
        announce(mRegistry.merge(List.of(after)));
    }

    /**
     * Reports that a call has failed as calls to an upstream that crashes do. It counts as a crash
     * at once if the upstream is found to have ended, otherwise once another one has taken its
     * place. One that falls silent is not looked at: what it does not answer proves nothing.
     *
     * @param failure how the call failed
     * @param after the record of the request that it ran, a crash included
     * @param upstream the upstream
     * @param peer where it listened
     */
    public void mayHaveCrashed(
            Failure failure, CrashRecord after, Incarnation upstream, Peer peer) {
        boolean hasEnded =
                failure instanceof Failure.Broken && mProbe.probe(peer) == EndProbe.Finding.ENDED;
        if (hasEnded) {
            crashed(after);
        } else {
            mUnproven.add(after, upstream, peer.host() + ":" + peer.port());
        }
    }

    /**
     * Reports that a run was broken off here because its caller left. Its upstream may go on with
     * it for a moment, and end under it unseen: so it is watched.
     *
     * @param after the record of the request, a crash included
     * @param peer where the upstream listens
     * @param isPlanned asked when the upstream has ended: whether it had said that it leaves
     * @param watched called once when the watch is over, whatever it has found
     */
    public void abandoned(
            CrashRecord after, Peer peer, BooleanSupplier isPlanned, Runnable watched) {
        if (mWatched.incrementAndGet() > MOST_WATCHED) {
            mWatched.decrementAndGet();
            watched.run();
            return;
        }
        Thread.ofVirtual().name("end-watch").start(() -> watch(after, peer, isPlanned, watched));
    }

    private void watch(CrashRecord after, Peer peer, BooleanSupplier isPlanned, Runnable watched) {
        try {
            if (mWatch.endsWithin(peer, WATCH_FOR) && !isPlanned.getAsBoolean()) {
                crashed(after);
            }
        } finally {
            mWatched.decrementAndGet();
            watched.run();
        }
    }

    /**
     * Tells whether calls to an upstream that crashes fail so.
     *
     * @param failure how a call failed
     * @return false if the failure has another reason for certain
     */
    public static boolean mayBeCrash(Failure failure) {
        return failure instanceof Failure.Broken || failure instanceof Failure.TimedOut;
    }

    /**
     * Takes a registration, which may prove that another upstream has ended.
     *
     * @param registration the registration
     */
    public void registered(Registration registration) {
        mUnproven.takeProved(registration).forEach(this::crashed);
    }

    /**
     * Reports that a request has run to an end that its upstream survived.
     *
     * @param fingerprint the request
     */
    public void survived(RequestFingerprint fingerprint) {
        announce(mRegistry.clear(fingerprint).stream().toList());
    }

    private void announce(List<CrashRecord> changed) {
        for (CrashRecord record : changed) {
            if (record.isQuarantined()) {
                LOG.warn(
                        "the request %s is quarantined: %d upstreams have crashed under it",
                        record.fingerprint(), record.crashes());
            } else {
                LOG.info("the request %s: %d crashes", record.fingerprint(), record.crashes());
            }
            mAnnouncer.announce(record);
        }
    }

    /**
     * Returns how many crashes were reported here.
     *
     * @return a count
     */
    public long crashCount() {
        return mCrashes.get();
    }

    /**
     * Returns how many requests were refused here because they are quarantined.
     *
     * @return a count
     */
    public long refusalCount() {
        return mRefusals.get();
    }

    /** Returns what was counted, for logs. */
    @Override
    public String toString() {
        return "%d crashes, %d requests refused, %d quarantined"
                .formatted(mCrashes.get(), mRefusals.get(), mRegistry.quarantined().size());
    }
}
