/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;

/**
 * A site without a network: entries send requests to engines, report to one voter in each zone, and
 * receive digests from the voter of their own zone. Time is simulated. An entry prefers an engine
 * that it may probe, since such an engine looks idle.
 */
final class EvidenceSite {
    /** Held strongly, so that the level stays set. */
    private static final Logger LOGGER = Logger.getLogger("org.orchidmount.evidence");

    static {
        // Some 10,000 lines, which would take longer than the simulation.
        LOGGER.setLevel(Level.WARNING);
    }

    private static final long MILLI = 1_000_000;

    /** Time after which a call without a response has failed. */
    private static final long TIMEOUT_MILLIS = 300;

    private static final long LINK_MILLIS = 15;
    private static final int MAX_TRIES = 4;

    private final ManualClock mClock = new ManualClock();
    private final SplittableRandom mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<EvidenceMerger> mVoters = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final double mRequestsPerSecond;
    private final int mZones;
    private long mOrder;
    private int mFalseEjections;
    private int mTrueEjections;
    private int mTries;
    private int mFailedTries;

    private record Event(long atNanos, long order, Runnable action) {}

    /** State of an engine; the fields are set by the scenario. */
    static final class Engine {
        final Incarnation mId;
        boolean mIsDark;
        double mFailureShare;
        double mSlowness = 1;
        long mStalledUntilNanos;

        /** Entries that have seen it fail since it went dark. */
        final Map<String, Long> mWitnessedNanos = new HashMap<>();

        Engine(int number) {
            mId = Incarnation.startedAt("e" + number, 1);
        }
    }

    /** An entry of the site. */
    final class Entry {
        final String mName;
        final String mZone;
        final UpstreamEvidenceView mView;
        boolean mIsCut;
        boolean mReportsFalseFailures;
        Set<String> mEjected = Set.of();
        final Map<String, Long> mEjectedNanos = new HashMap<>();

        Entry(int number) {
            mName = "n" + number;
            mZone = "z" + number % mZones;
            mView = new UpstreamEvidenceView(mName, mZone, () -> mZones, () -> true, mClock);
            mView.source().onUrgent(() -> after(0, this::report));
        }

        void report() {
            mView.source()
                    .drain()
                    .ifPresent(
                            report ->
                                    after(
                                            LINK_MILLIS,
                                            () ->
                                                    mVoters.forEach(
                                                            voter ->
                                                                    voter.merge(
                                                                            mName,
                                                                            mZone,
                                                                            report,
                                                                            mClock.nanoTime()))));
        }

        void reportPeriodically() {
            report();
            after(500, this::reportPeriodically);
        }

        void receive(String voter, EvidenceDigest digest) {
            mView.receiver().onDigest(voter, digest);
            refresh();
        }

        /** Asks which engines are ejected, and counts the ejections that have begun. */
        void refresh() {
            Set<String> now =
                    mView.ejected(() -> mEngines.stream().map(engine -> engine.mId).toList());
            for (Engine engine : mEngines) {
                String id = engine.mId.id();
                if (now.contains(id) && !mEjected.contains(id)) {
                    mEjectedNanos.putIfAbsent(id, mClock.nanoTime());
                    if (engine.mIsDark) {
                        mTrueEjections++;
                    } else {
                        mFalseEjections++;
                    }
                }
            }
            mEjected = new HashSet<>(now);
        }

        void arrive() {
            request(0, new HashSet<>());
            double gapSeconds = -Math.log(1 - mRandom.nextDouble()) / mRequestsPerSecond;
            after((long) (gapSeconds * 1000), this::arrive);
        }

        private void request(int tries, Set<Engine> tried) {
            if (tries == MAX_TRIES) {
                return;
            }
            refresh();
            List<Engine> choice =
                    mEngines.stream()
                            .filter(engine -> !mEjected.contains(engine.mId.id()))
                            .filter(engine -> !tried.contains(engine))
                            .toList();
            List<Engine> idle =
                    choice.stream()
                            .filter(engine -> mEjectedNanos.containsKey(engine.mId.id()))
                            .toList();
            List<Engine> from = idle.isEmpty() ? choice : idle;
            if (from.isEmpty()) {
                return;
            }
            Engine engine = from.get(mRandom.nextInt(from.size()));
            tried.add(engine);
            mView.chosen(engine.mId);
            mTries++;
            call(engine, tries, tried);
        }

        private void call(Engine engine, int tries, Set<Engine> tried) {
            boolean stalled =
                    engine.mStalledUntilNanos - mClock.nanoTime() > TIMEOUT_MILLIS * MILLI;
            if (engine.mIsDark || mIsCut || stalled) {
                after(TIMEOUT_MILLIS, () -> fail(engine, tries, tried));
            } else if (mRandom.nextDouble() < engine.mFailureShare) {
                after(50, () -> fail(engine, tries, tried));
            } else {
                after(100 + mRandom.nextInt(300), () -> succeed(engine));
            }
        }

        private void fail(Engine engine, int tries, Set<Engine> tried) {
            mFailedTries++;
            if (engine.mIsDark) {
                engine.mWitnessedNanos.putIfAbsent(mName, mClock.nanoTime());
            }
            mView.failed(engine.mId);
            request(tries + 1, tried);
        }

        private void succeed(Engine engine) {
            if (mReportsFalseFailures) {
                mView.failed(engine.mId);
                return;
            }
            mEjectedNanos.remove(engine.mId.id());
            mView.succeeded(engine.mId);
            double noise = 0.8 + 0.4 * mRandom.nextDouble();
            mView.measured(engine.mId, 3_000 * engine.mSlowness * noise, 3_000);
        }
    }

    EvidenceSite(int entries, int zones, int engines, double requestsPerSecond, long seed) {
        mRandom = new SplittableRandom(seed);
        mZones = zones;
        mRequestsPerSecond = requestsPerSecond / entries;
        for (int i = 0; i < engines; i++) {
            mEngines.add(new Engine(i));
        }
        for (int i = 0; i < zones; i++) {
            mVoters.add(new EvidenceMerger(mClock.nanoTime()));
            int zone = i;
            after(20, () -> sendUrgentDigest(zone));
            after(mRandom.nextInt(1000), () -> sendDigests(zone));
        }
        for (int i = 0; i < entries; i++) {
            Entry entry = new Entry(i);
            mEntries.add(entry);
            after(mRandom.nextInt(500), entry::reportPeriodically);
            after(mRandom.nextInt(1000), entry::arrive);
        }
    }

    private void sendUrgentDigest(int zone) {
        if (mVoters.get(zone).hasNewFailures()) {
            sendDigest(zone);
        }
        after(20, () -> sendUrgentDigest(zone));
    }

    private void sendDigests(int zone) {
        sendDigest(zone);
        after(1000, () -> sendDigests(zone));
    }

    private void sendDigest(int zone) {
        mVoters.get(zone)
                .digest(mClock.nanoTime())
                .ifPresent(
                        digest ->
                                after(
                                        LINK_MILLIS,
                                        () ->
                                                mEntries.stream()
                                                        .filter(e -> e.mZone.equals("z" + zone))
                                                        .forEach(
                                                                e ->
                                                                        e.receive(
                                                                                "v" + zone,
                                                                                digest))));
    }

    void after(long millis, Runnable action) {
        mEvents.add(new Event(mClock.nanoTime() + millis * MILLI, mOrder++, action));
    }

    void run(Duration time) {
        long endNanos = mClock.nanoTime() + time.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.poll();
            mClock.advance(Duration.ofNanos(event.atNanos() - mClock.nanoTime()));
            event.action().run();
        }
        mClock.advance(Duration.ofNanos(endNanos - mClock.nanoTime()));
    }

    long nowNanos() {
        return mClock.nanoTime();
    }

    List<Entry> entries() {
        return mEntries;
    }

    List<Engine> engines() {
        return mEngines;
    }

    int falseEjections() {
        return mFalseEjections;
    }

    int trueEjections() {
        return mTrueEjections;
    }

    int tries() {
        return mTries;
    }

    int failedTries() {
        return mFailedTries;
    }

    /** Share of ejections, over all entries, that were of an engine that was dark. */
    double correctShare() {
        int all = mTrueEjections + mFalseEjections;
        return all == 0 ? 1 : mTrueEjections / (double) all;
    }
}
