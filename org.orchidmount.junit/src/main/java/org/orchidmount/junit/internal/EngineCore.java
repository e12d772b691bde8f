/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.orchidmount.junit.EngineConfig;
import org.orchidmount.junit.EngineFaults;
import org.orchidmount.junit.FakeModel;
import org.orchidmount.routing.PromptBlocks;

/**
 * The inside of a fake engine in real time: one prompt at a time, a batch of decoding requests,
 * limited memory, a prefix cache, exported caches that run out, and a lagging report.
 *
 * <p>Invariant: the memory held equals that of the prompts in work, of the exports and of the
 * requests that decode, and never passes the limit. All state is guarded by one lock. Thread-safe.
 */
final class EngineCore implements AutoCloseable {
    /** Requests remembered for tests; far more than a test sends. */
    private static final int MAX_REMEMBERED = 200_000;

    private final EngineConfig mConfig;
    private final Lock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final SplittableRandom mRandom;
    private final Map<String, EngineSequence> mSequences = new LinkedHashMap<>();
    private final List<EnginePrefill> mPrefillQueue = new ArrayList<>();
    private final Map<String, Export> mExports = new HashMap<>();
    private final PrefixCache mCache;
    private final Set<String> mReceived = new LinkedHashSet<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private long mOrder;
    private long mKvBytesHeld;
    private long mLinkFreeNanos;
    private long mProcessedTokens;
    private long mWastedTokens;
    private long mGeneratedTokens;
    private Report mVisible = new Report(0, 0, 0);
    private Report mPending = mVisible;
    private EngineFaults mFaults = EngineFaults.none();
    private boolean mClosed;

    EngineCore(EngineConfig config, long seed) {
        mConfig = config;
        mRandom = new SplittableRandom(seed);
        mCache = new PrefixCache(config.cacheBlocks(), config.eventLossPercent(), mRandom);
        start("prefill", this::prefillLoop);
        start("decode", this::decodeLoop);
        start("report", this::reportLoop);
    }

    private void start(String name, Loop loop) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                loop.run();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        mConfig.name() + "-" + name);
        thread.setDaemon(true);
        mThreads.add(thread);
        thread.start();
    }

    EngineConfig config() {
        return mConfig;
    }

    EngineFaults faults() {
        return locked(() -> mFaults);
    }

    void setFaults(EngineFaults faults) {
        locked(
                () -> {
                    mFaults = faults;
                    mChanged.signalAll();
                    return null;
                });
    }

    /** Draws a fault of a given probability. */
    boolean happens(int percent) {
        return percent > 0 && locked(() -> mRandom.nextInt(100) < percent);
    }

    /** Notes that a byte of a request has arrived. */
    void received(String id) {
        locked(
                () -> {
                    if (mReceived.size() < MAX_REMEMBERED) {
                        mReceived.add(id);
                    }
                    return null;
                });
    }

    List<String> receivedIds() {
        return locked(() -> List.copyOf(mReceived));
    }

    /** Processes a prompt; returns null if it was cancelled. */
    Export prefill(String id, String instance, String incarnation, String prompt, int priority)
            throws InterruptedException {
        PromptBlocks blocks = PromptBlocks.of(prompt);
        mLock.lock();
        try {
            long kvBytes = blocks.tokens() * mConfig.kvBytesPerToken();
            EnginePrefill prefill =
                    new EnginePrefill(
                            id, instance, incarnation, blocks, kvBytes, priority, mOrder++);
            mPrefillQueue.add(prefill);
            mChanged.signalAll();
            while (prefill.result() == null && !prefill.isCancelled() && !mClosed) {
                mChanged.await(1, TimeUnit.SECONDS);
            }
            return prefill.result();
        } finally {
            mLock.unlock();
        }
    }

    private void prefillLoop() throws InterruptedException {
        mLock.lock();
        try {
            while (!mClosed) {
                EnginePrefill next = nextPrefill();
                if (next == null) {
                    mChanged.await(5, TimeUnit.MILLISECONDS);
                    expireExports();
                    continue;
                }
                mKvBytesHeld += next.kvBytes();
                next.setHoldsMemory(true);
                process(next);
            }
        } finally {
            mLock.unlock();
        }
    }

    private EnginePrefill nextPrefill() {
        mPrefillQueue.removeIf(EnginePrefill::isCancelled);
        return mPrefillQueue.stream()
                .filter(prefill -> mKvBytesHeld + prefill.kvBytes() <= mConfig.kvBytes())
                .min(
                        Comparator.comparingInt(EnginePrefill::priority)
                                .thenComparingLong(EnginePrefill::order))
                .orElse(null);
    }

    private void process(EnginePrefill prefill) throws InterruptedException {
        int cached = mCache.cachedTokens(prefill.blocks());
        int uncached = Math.max(1, prefill.blocks().tokens() - cached);
        double nanosPerToken =
                mFaults.slowFactor()
                        * TimeUnit.SECONDS.toNanos(1)
                        / mConfig.prefillTokensPerSecond();
        long startNanos = System.nanoTime();
        long endNanos = startNanos + (long) (uncached * nanosPerToken);
        while (System.nanoTime() < endNanos && !prefill.isCancelled() && !mClosed) {
            mChanged.awaitNanos(endNanos - System.nanoTime());
        }
        mPrefillQueue.remove(prefill);
        if (prefill.isCancelled()) {
            long done = (long) ((System.nanoTime() - startNanos) / nanosPerToken);
            mProcessedTokens += Math.min(done, uncached);
            mWastedTokens += Math.min(done, uncached);
            release(prefill);
            return;
        }
        mProcessedTokens += uncached;
        mCache.store(prefill.blocks());
        long expiresNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mConfig.exportHoldMillis());
        Export export =
                new Export(
                        prefill.id(),
                        prefill.instance(),
                        prefill.incarnation(),
                        prefill.kvBytes(),
                        prefill.blocks().tokens(),
                        cached,
                        uncached,
                        expiresNanos);
        prefill.setResult(export);
        prefill.setHoldsMemory(false);
        mExports.put(prefill.id(), export);
        mChanged.signalAll();
    }

    private void release(EnginePrefill prefill) {
        if (prefill.holdsMemory()) {
            prefill.setHoldsMemory(false);
            mKvBytesHeld -= prefill.kvBytes();
        }
        mChanged.signalAll();
    }

    private void expireExports() {
        long nowNanos = System.nanoTime();
        Iterator<Export> exports = mExports.values().iterator();
        while (exports.hasNext()) {
            Export export = exports.next();
            if (nowNanos - export.expiresNanos() >= 0) {
                exports.remove();
                mKvBytesHeld -= export.kvBytes();
                mWastedTokens += export.uncachedTokens();
            }
        }
    }

    /** Finds an exported cache; it is held until {@link #releaseExport} or it runs out. */
    Export findExport(String id) {
        return locked(() -> mExports.get(id));
    }

    /** Frees an exported cache that was imported; returns false if it is no longer held. */
    boolean releaseExport(String id) {
        return locked(
                () -> {
                    Export export = mExports.remove(id);
                    if (export != null) {
                        mKvBytesHeld -= export.kvBytes();
                        mChanged.signalAll();
                    }
                    return export != null;
                });
    }

    /** Waits until this engine's link has carried some bytes; returns false if it stalls. */
    boolean transfer(long bytes, EngineSequence sequence) throws InterruptedException {
        mLock.lock();
        try {
            long durationNanos = bytes * TimeUnit.SECONDS.toNanos(1) / mConfig.linkBytesPerSecond();
            long nowNanos = System.nanoTime();
            mLinkFreeNanos = Math.max(mLinkFreeNanos, nowNanos) + durationNanos;
            long endNanos = mLinkFreeNanos;
            while (System.nanoTime() < endNanos || mFaults.stallTransfers()) {
                if (sequence.isDropped() || mClosed) {
                    return false;
                }
                long leftNanos = Math.max(1_000_000, endNanos - System.nanoTime());
                mChanged.awaitNanos(Math.min(leftNanos, 20_000_000));
            }
            return !sequence.isDropped();
        } finally {
            mLock.unlock();
        }
    }

    /** Takes a request in; it does not run before {@link #admit}. */
    EngineSequence open(
            String id, FakeModel.Plan plan, boolean chat, int promptTokens, int priority) {
        return locked(
                () -> {
                    long kvBytes = (promptTokens + plan.count()) * mConfig.kvBytesPerToken();
                    EngineSequence sequence =
                            new EngineSequence(id, plan, chat, kvBytes, priority, mOrder++, mLock);
                    mSequences.put(id, sequence);
                    return sequence;
                });
    }

    /** Waits for memory and a place in the batch; returns false if the request was dropped. */
    boolean admit(EngineSequence sequence) throws InterruptedException {
        mLock.lock();
        try {
            while (!sequence.isDropped() && !mClosed) {
                if (isNext(sequence)) {
                    mKvBytesHeld += sequence.kvBytes();
                    sequence.setHoldsMemory();
                    return true;
                }
                mChanged.await(50, TimeUnit.MILLISECONDS);
            }
            return false;
        } finally {
            mLock.unlock();
        }
    }

    private boolean isNext(EngineSequence sequence) {
        long batch = mSequences.values().stream().filter(EngineSequence::holdsMemory).count();
        if (batch >= mConfig.maxBatch() || mKvBytesHeld + sequence.kvBytes() > mConfig.kvBytes()) {
            return false;
        }
        return mSequences.values().stream()
                .filter(other -> !other.holdsMemory() && other != sequence)
                .noneMatch(
                        other ->
                                other.priority() < sequence.priority()
                                        && mKvBytesHeld + other.kvBytes() <= mConfig.kvBytes());
    }

    /** Begins to generate, now that the cache is here. */
    void run(EngineSequence sequence) {
        locked(
                () -> {
                    sequence.setRunning();
                    mChanged.signalAll();
                    return null;
                });
    }

    private void decodeLoop() throws InterruptedException {
        mLock.lock();
        try {
            while (!mClosed) {
                int batch = 0;
                for (EngineSequence sequence : mSequences.values()) {
                    if (sequence.isRunning() && !sequence.isGenerated()) {
                        batch++;
                    }
                }
                if (batch == 0) {
                    mChanged.await(5, TimeUnit.MILLISECONDS);
                    continue;
                }
                long micros = mConfig.stepMicros() + batch * mConfig.stepMicrosPerRequest();
                long endNanos = System.nanoTime() + (long) (micros * 1000 * mFaults.slowFactor());
                while (System.nanoTime() < endNanos && !mClosed) {
                    mChanged.awaitNanos(endNanos - System.nanoTime());
                }
                for (EngineSequence sequence : mSequences.values()) {
                    if (sequence.isRunning() && sequence.step()) {
                        mGeneratedTokens++;
                    }
                }
            }
        } finally {
            mLock.unlock();
        }
    }

    EngineSequence find(String id) {
        return locked(() -> mSequences.get(id));
    }

    int attach(EngineSequence sequence, String instance, String incarnation, int offset) {
        return locked(() -> sequence.attach(instance, incarnation, offset));
    }

    void detach(EngineSequence sequence, int reader) {
        locked(
                () -> {
                    sequence.detach(reader);
                    return null;
                });
    }

    EngineSequence.Turn await(EngineSequence sequence, int reader, int offset)
            throws InterruptedException {
        mLock.lock();
        try {
            return sequence.await(reader, offset);
        } finally {
            mLock.unlock();
        }
    }

    /** Drops a request and all that is held for it; returns false if it is not known. */
    boolean drop(String id) {
        return locked(
                () -> {
                    boolean known = false;
                    for (EnginePrefill prefill : mPrefillQueue) {
                        if (prefill.id().equals(id)) {
                            prefill.cancel();
                            known = true;
                        }
                    }
                    Export export = mExports.remove(id);
                    if (export != null) {
                        mKvBytesHeld -= export.kvBytes();
                        mWastedTokens += export.uncachedTokens();
                        known = true;
                    }
                    EngineSequence sequence = mSequences.remove(id);
                    if (sequence != null) {
                        if (sequence.holdsMemory()) {
                            mKvBytesHeld -= sequence.kvBytes();
                        }
                        sequence.drop();
                        known = true;
                    }
                    mChanged.signalAll();
                    return known;
                });
    }

    private void reportLoop() throws InterruptedException {
        mLock.lock();
        try {
            while (!mClosed) {
                long endNanos =
                        System.nanoTime()
                                + TimeUnit.MILLISECONDS.toNanos(mConfig.reportLagMillis());
                while (System.nanoTime() < endNanos && !mClosed) {
                    mChanged.awaitNanos(endNanos - System.nanoTime());
                }
                mVisible = mPending;
                mPending = capture();
                mCache.publish();
            }
        } finally {
            mLock.unlock();
        }
    }

    private Report capture() {
        int running = 0;
        for (EngineSequence sequence : mSequences.values()) {
            running += sequence.holdsMemory() ? 1 : 0;
        }
        int waiting = mSequences.size() - running + mPrefillQueue.size();
        return new Report(running, waiting, mKvBytesHeld);
    }

    /** The report as others see it, with the events after a number. */
    Seen seen(long eventsAfter) {
        return locked(
                () -> {
                    PrefixCache.Page page = mCache.eventsAfter(eventsAfter);
                    return new Seen(mVisible, page.events(), page.next(), page.lost());
                });
    }

    /** The true state, for tests. */
    State state() {
        return locked(
                () ->
                        new State(
                                mKvBytesHeld,
                                mSequences.size() + mPrefillQueue.size(),
                                mExports.size(),
                                mProcessedTokens,
                                mWastedTokens,
                                mGeneratedTokens));
    }

    /** The requests held, for the list of running requests. */
    List<Running> running() {
        return locked(
                () -> {
                    List<Running> list = new ArrayList<>();
                    Set<String> seen = new HashSet<>();
                    for (EngineSequence s : mSequences.values()) {
                        seen.add(s.id());
                        list.add(
                                new Running(s.id(), s.instance(), s.incarnation(), s.isAttached()));
                    }
                    for (EnginePrefill p : mPrefillQueue) {
                        list.add(new Running(p.id(), p.instance(), p.incarnation(), false));
                    }
                    for (Export e : mExports.values()) {
                        list.add(new Running(e.id(), e.instance(), e.incarnation(), false));
                    }
                    return list;
                });
    }

    private <T> T locked(Supplier<T> body) {
        mLock.lock();
        try {
            return body.get();
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public void close() {
        locked(
                () -> {
                    mClosed = true;
                    mChanged.signalAll();
                    return null;
                });
        mThreads.forEach(Thread::interrupt);
    }

    @FunctionalInterface
    private interface Loop {
        void run() throws InterruptedException;
    }

    /** A processed prompt whose cache waits to be imported. */
    record Export(
            String id,
            String instance,
            String incarnation,
            long kvBytes,
            int promptTokens,
            int cachedTokens,
            int uncachedTokens,
            long expiresNanos) {}

    /** The load at one time. */
    record Report(int running, int waiting, long kvBytesUsed) {}

    /** What a poller gets. */
    record Seen(Report report, List<PrefixCache.Event> events, long nextEvent, boolean lost) {}

    /** The true state. */
    record State(
            long kvBytesHeld,
            int requests,
            int exports,
            long processedTokens,
            long wastedTokens,
            long generatedTokens) {}

    /** A request held. */
    record Running(String id, String instance, String incarnation, boolean attached) {}
}
