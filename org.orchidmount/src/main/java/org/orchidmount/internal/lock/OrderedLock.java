/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.lock;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A lock that checks the order of {@link LockRank}.
 *
 * <p>Invariant: the ranks held by one thread rise strictly. A violation throws {@link
 * LockOrderException} before the lock is taken, so a wrong order is a failed test and not a rare
 * deadlock. Thread-safe; not reentrant by design.
 */
public final class OrderedLock {
    private static final ThreadLocal<Deque<LockRank>> HELD =
            ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank mRank;
    private final ReentrantLock mLock = new ReentrantLock();

    /**
     * Creates a lock.
     *
     * @param rank its place in the order
     */
    public OrderedLock(LockRank rank) {
        mRank = rank;
    }

    /**
     * Takes the lock for a try-with-resources block.
     *
     * @return the handle that releases the lock when closed
     * @throws LockOrderException if the thread holds a lock of the same or a later rank
     */
    public Held hold() {
        Deque<LockRank> held = HELD.get();
        LockRank last = held.peekLast();
        if (last != null && last.compareTo(mRank) >= 0) {
            throw new LockOrderException(last, mRank);
        }
        mLock.lock();
        held.addLast(mRank);
        return this::release;
    }

    /**
     * Tells whether the calling thread holds this lock.
     *
     * @return true if held by the caller
     */
    public boolean isHeld() {
        return mLock.isHeldByCurrentThread();
    }

    private void release() {
        HELD.get().removeLastOccurrence(mRank);
        mLock.unlock();
    }

    /** The lock while it is held. Closing it releases the lock. */
    @FunctionalInterface
    public interface Held extends AutoCloseable {
        @Override
        void close();
    }
}
