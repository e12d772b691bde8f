/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SplittableRandom;
import org.orchidmount.routing.PromptBlocks;

/**
 * The prefix cache of a fake engine and the events that tell others of it, which come late and with
 * gaps.
 *
 * <p>Invariant: the blocks unused the longest give way. Guarded by the engine's lock.
 */
final class PrefixCache {
    /** Events kept for those that ask; far more than a test makes. */
    private static final int MAX_EVENTS = 100_000;

    private final LinkedHashMap<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Event> mUnpublished = new ArrayList<>();
    private final List<Event> mPublished = new ArrayList<>();
    private final int mMaxBlocks;
    private final int mLossPercent;
    private final SplittableRandom mRandom;
    private long mLastNumber;

    /**
     * Creates an empty cache.
     *
     * @param maxBlocks the blocks that it holds
     * @param lossPercent events that are never published
     * @param random draws those
     */
    PrefixCache(int maxBlocks, int lossPercent, SplittableRandom random) {
        mMaxBlocks = maxBlocks;
        mLossPercent = lossPercent;
        mRandom = random;
    }

    /** Returns the tokens at the beginning of a prompt that need not be processed. */
    int cachedTokens(PromptBlocks prompt) {
        int count = 0;
        for (long hash : prompt.hashes()) {
            if (mBlocks.get(hash) == null) {
                break;
            }
            count++;
        }
        return count * PromptBlocks.BLOCK_TOKENS;
    }

    /** Keeps the blocks of a prompt that was processed. */
    void store(PromptBlocks prompt) {
        for (long hash : prompt.hashes()) {
            if (mBlocks.put(hash, true) == null) {
                note(hash, true);
            }
        }
        Iterator<Long> eldest = mBlocks.keySet().iterator();
        while (mBlocks.size() > mMaxBlocks) {
            long hash = eldest.next();
            eldest.remove();
            note(hash, false);
        }
    }

    private void note(long hash, boolean stored) {
        mLastNumber++;
        if (mRandom.nextInt(100) >= mLossPercent) {
            mUnpublished.add(new Event(mLastNumber, hash, stored));
        }
    }

    /** Lets others see the events so far. */
    void publish() {
        mPublished.addAll(mUnpublished);
        mUnpublished.clear();
        if (mPublished.size() > MAX_EVENTS) {
            mPublished.subList(0, mPublished.size() - MAX_EVENTS).clear();
        }
    }

    /** Returns the events published after a number. */
    Page eventsAfter(long number) {
        List<Event> events = new ArrayList<>();
        boolean lost = false;
        long previous = number;
        for (Event event : mPublished) {
            if (event.number() > number) {
                lost |= event.number() != previous + 1;
                previous = event.number();
                events.add(event);
            }
        }
        return new Page(List.copyOf(events), previous, lost);
    }

    /** A block that was stored or has given way. */
    record Event(long number, long hash, boolean stored) {}

    /** Some events, the number to ask after next, and whether there was a gap. */
    record Page(List<Event> events, long next, boolean lost) {}
}
