/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * The connections that no call has, kept for a short while, the newest of a peer first.
 *
 * <p>Invariant: none is handed out twice for calls with the same identity. Thread-safe.
 */
final class IdleConnections {
    /** Idle connections kept for each peer. */
    private static final int MAX_IDLE_PER_PEER = 64;

    /** Nanoseconds that an idle connection is kept at most. */
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final OrderedLock mLock = new OrderedLock(LockRank.CONNECTIONS);
    private final Map<Peer, Deque<Idle>> mIdle = new HashMap<>();
    private final ReuseSuspensions mSuspensions = new ReuseSuspensions();
    private final MonotonicClock mClock;
    private long mLastSweepNanos;

    private record Idle(PooledConnection connection, long sinceNanos) {}

    IdleConnections(MonotonicClock clock) {
        mClock = clock;
        mLastSweepNanos = clock.nanoTime();
    }

    /** Takes a connection that has not carried an identity; null if there is none. */
    PooledConnection take(Peer peer, String identity) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Deque<Idle> idle = mIdle.get(peer);
            if (idle == null) {
                return null;
            }
            Iterator<Idle> newestFirst = idle.descendingIterator();
            while (newestFirst.hasNext()) {
                Idle next = newestFirst.next();
                PooledConnection connection = next.connection();
                if (!isUsable(next)) {
                    newestFirst.remove();
                    connection.closeLater();
                } else if (!connection.hasCarried(identity)) {
                    newestFirst.remove();
                    return connection;
                }
            }
            return null;
        }
    }

    private boolean isUsable(Idle idle) {
        PooledConnection connection = idle.connection();
        long mostNanos = Math.min(MAX_IDLE_NANOS, connection.idleLimitNanos());
        return connection.isOpen() && mClock.nanoTime() - idle.sinceNanos() < mostNanos;
    }

    /** Keeps a connection, or closes it if those of its peer are out of use. */
    void add(Peer peer, PooledConnection connection) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            if (mSuspensions.isSuspended(peer, nowNanos)) {
                connection.closeLater();
                return;
            }
            closeUnusable(nowNanos);
            Deque<Idle> idle = mIdle.computeIfAbsent(peer, p -> new ArrayDeque<>());
            if (idle.size() >= MAX_IDLE_PER_PEER) {
                idle.pollFirst().connection().closeLater();
            }
            idle.addLast(new Idle(connection, nowNanos));
        }
    }

    /** Now and then closes what is kept for peers to which no more calls are made. */
    private void closeUnusable(long nowNanos) {
        if (nowNanos - mLastSweepNanos < MAX_IDLE_NANOS) {
            return;
        }
        mLastSweepNanos = nowNanos;
        mIdle.values().forEach(idle -> closeIf(idle, each -> !isUsable(each)));
        mIdle.values().removeIf(Deque::isEmpty);
    }

    private static void closeIf(Deque<Idle> idle, Predicate<Idle> filter) {
        Iterator<Idle> each = idle.iterator();
        while (each.hasNext()) {
            Idle next = each.next();
            if (filter.test(next)) {
                each.remove();
                next.connection().closeLater();
            }
        }
    }

    /** Puts the connections of a peer out of use for a while, and closes them. */
    void suspend(Peer peer) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mSuspensions.suspend(peer, mClock.nanoTime());
            Deque<Idle> idle = mIdle.remove(peer);
            if (idle != null) {
                idle.forEach(each -> each.connection().closeLater());
            }
        }
    }

    /** Closes the connections to a peer that match a predicate. */
    void closeIf(Peer peer, Predicate<PooledConnection> filter) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Deque<Idle> idle = mIdle.get(peer);
            if (idle != null) {
                closeIf(idle, each -> filter.test(each.connection()));
            }
        }
    }

    /** Closes the connections that match a predicate. */
    void closeIf(Predicate<PooledConnection> filter) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mIdle.values().forEach(idle -> closeIf(idle, each -> filter.test(each.connection())));
        }
    }
}
