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
 * Receives the crash reports of the requests of one instance, and answers their queries before a
 * run.
 *
 * <p>Invariant: a crash is counted only once it is confirmed that the upstream has terminated.
 * Thread-safe.
 */
public final class CrashReports {
    private static final PartLog LOG = PartLog.of("crash");

    /**
     * How long an upstream is watched after a run on it was abandoned. A request that crashes its
     * upstream does so within some tens of milliseconds of its start, and runs that continue
     * without their caller for longer than this are rare.
     */
    static final Duration WATCH_DURATION = Duration.ofMillis(600);

    /** Maximum number of upstreams watched concurrently; each takes one connection. */
    private static final int MAX_WATCHED = 256;

    private final CrashRegistry mRegistry;
    private final CrashAnnouncer mAnnouncer;
    private final TerminationProbe mProbe;
    private final TerminationWatch mWatch;
    private final TerminationWitnesses mWitnesses;
    private final RunLock mRunLock;
    private final UnconfirmedCrashes mUnconfirmed;
    private final RunningSuspects mRunning = new RunningSuspects();
    private final AtomicLong mCrashes = new AtomicLong();
    private final AtomicLong mRefusals = new AtomicLong();
    private final AtomicInteger mWatched = new AtomicInteger();
    private final PartHistory mParts;

    /**
     * Creates an instance without any reports.
     *
     * @param registry holds the records
     * @param announcer distributes the records
     * @param probe determines whether an upstream has terminated
     * @param watch waits for the termination of an upstream
     * @param runLock serializes suspected requests over all instances
     * @param clock clock for the age of unconfirmed crashes
     */
    public CrashReports(
            CrashRegistry registry,
            CrashAnnouncer announcer,
            TerminationProbe probe,
            TerminationWatch watch,
            RunLock runLock,
            MonotonicClock clock) {
        this(registry, announcer, probe, watch, TerminationWitnesses.NONE, runLock, clock);
    }

    /**
     * Creates an instance without any reports.
     *
     * @param registry holds the records
     * @param announcer distributes the records
     * @param probe determines whether an upstream has terminated
     * @param watch waits for the termination of an upstream
     * @param witnesses tell whether the path to an upstream is lost instead
     * @param runLock serializes suspected requests over all instances
     * @param clock clock for the age of unconfirmed crashes
     */
    public CrashReports(
            CrashRegistry registry,
            CrashAnnouncer announcer,
            TerminationProbe probe,
            TerminationWatch watch,
            TerminationWitnesses witnesses,
            RunLock runLock,
            MonotonicClock clock) {
        mWitnesses = witnesses;
        mRegistry = registry;
        mAnnouncer = announcer;
        mProbe = probe;
        mWatch = watch;
        mRunLock = runLock;
        mUnconfirmed = new UnconfirmedCrashes(clock);
        mParts = new PartHistory(clock);
    }

    /**
     * Returns whether no crash is known, so that requests need not be checked.
     *
     * @return true if no records are held
     */
    public boolean isEmpty() {
        return mRegistry.isEmpty();
    }

    /**
     * Returns what this instance knows in favour of parts of prompts.
     *
     * @return the live history
     */
    public PartHistory parts() {
        return mParts;
    }

    /**
     * Returns the record of a request.
     *
     * @param fingerprint fingerprint of the request
     * @return its record; one without crashes if none is held
     */
    public CrashRecord find(RequestFingerprint fingerprint) {
        return mRegistry.find(fingerprint);
    }

    /**
     * Acquires the exclusive right to run a copy of a suspected request, on this instance and over
     * all instances.
     *
     * @param request fingerprint of the request
     * @return false if another copy is running
     */
    boolean tryAcquireRunLock(RequestFingerprint request) {
        if (!mRunning.tryBegin(request)) {
            return false;
        }
        if (mRunLock.tryAcquire(request)) {
            return true;
        }
        mRunning.end(request);
        return false;
    }

    /** Releases what {@link #tryAcquireRunLock} has acquired. */
    void releaseRunLock(RequestFingerprint request) {
        mRunLock.release(request);
        mRunning.end(request);
    }

    /** Counts a request that was refused because it is quarantined. */
    public void refused() {
        mRefusals.incrementAndGet();
    }

    /**
     * Reports that an upstream has crashed.
     *
     * @param after records of the suspects, including this crash
     */
    public void crashed(List<CrashRecord> after) {
        mCrashes.incrementAndGet();
        announce(mRegistry.merge(after));
    }

    /**
     * Reports a call that failed in the way in which calls to a crashing upstream fail. It is
     * counted as a crash immediately if the upstream is found to have terminated, otherwise once
     * another upstream has taken its place. An upstream that timed out is not probed, since a
     * missing answer proves nothing.
     *
     * @param failure how the call failed
     * @param after records of the suspects, including a crash
     * @param upstream incarnation of the upstream
     * @param peer address of the upstream
     */
    public void suspectedCrash(
            Failure failure, List<CrashRecord> after, Incarnation upstream, Peer peer) {
        if (failure instanceof Failure.Broken && hasTerminated(peer, mProbe.probe(peer))) {
            crashed(after);
        } else {
            mUnconfirmed.add(after, upstream, peer.host() + ":" + peer.port());
        }
    }

    /** Asks others only if this instance finds that nothing listens or answers. */
    private boolean hasTerminated(Peer peer, TerminationProbe.Finding own) {
        return own != TerminationProbe.Finding.LISTENS
                && TerminationRule.hasTerminated(own, mWitnesses.ask(peer));
    }

    /**
     * Reports that a run was abandoned by this instance because its caller disconnected. The
     * upstream may continue the run for a moment and crash unnoticed, so it is watched.
     *
     * @param after records of the suspects, including a crash
     * @param peer address of the upstream
     * @param isPlanned returns whether the upstream had announced its departure; called when it has
     *     terminated
     * @param onWatchEnd called once when the watch is over, whatever its result
     */
    public void abandoned(
            List<CrashRecord> after, Peer peer, BooleanSupplier isPlanned, Runnable onWatchEnd) {
        if (mWatched.incrementAndGet() > MAX_WATCHED) {
            mWatched.decrementAndGet();
            onWatchEnd.run();
            return;
        }
        Thread.ofVirtual().name("end-watch").start(() -> watch(after, peer, isPlanned, onWatchEnd));
    }

    private void watch(
            List<CrashRecord> after, Peer peer, BooleanSupplier isPlanned, Runnable onWatchEnd) {
        try {
            if (mWatch.awaitTermination(peer, WATCH_DURATION)
                    && !isPlanned.getAsBoolean()
                    && hasTerminated(peer, TerminationProbe.Finding.ENDED)) {
                crashed(after);
            }
        } finally {
            mWatched.decrementAndGet();
            onWatchEnd.run();
        }
    }

    /**
     * Returns whether a failure may be caused by the crash of the upstream.
     *
     * @param failure how a call failed
     * @return false if the failure certainly has another cause
     */
    public static boolean mayBeCrash(Failure failure) {
        return failure instanceof Failure.Broken || failure instanceof Failure.TimedOut;
    }

    /**
     * Processes a registration, which may confirm that another upstream has terminated.
     *
     * @param registration the registration
     */
    public void registered(Registration registration) {
        mUnconfirmed.takeConfirmed(registration).forEach(this::crashed);
    }

    /**
     * Reports that a request has completed and its upstream is still running.
     *
     * @param fingerprint fingerprint of the request
     */
    public void survived(RequestFingerprint fingerprint) {
        announce(mRegistry.clear(fingerprint).stream().toList());
    }

    private void announce(List<CrashRecord> changed) {
        for (CrashRecord record : changed) {
            String kind = record.fingerprint().isPart() ? "prompt part" : "request";
            if (record.isQuarantined()) {
                LOG.warn(
                        "%s %s is quarantined: %d consecutive upstream crashes",
                        kind, record.fingerprint(), record.crashes());
            } else {
                LOG.info(
                        "%s %s: %d crashes of upstreams in a row",
                        kind, record.fingerprint(), record.crashes());
            }
            mAnnouncer.announce(record);
        }
    }

    /**
     * Returns the number of crashes reported on this instance.
     *
     * @return number of crashes
     */
    public long crashCount() {
        return mCrashes.get();
    }

    /**
     * Returns the number of requests that this instance refused because they are quarantined.
     *
     * @return number of requests
     */
    public long refusalCount() {
        return mRefusals.get();
    }

    /** Returns the counters, for logs. */
    @Override
    public String toString() {
        return "%d crashes, %d requests refused, %d quarantined"
                .formatted(mCrashes.get(), mRefusals.get(), mRegistry.quarantined().size());
    }
}
