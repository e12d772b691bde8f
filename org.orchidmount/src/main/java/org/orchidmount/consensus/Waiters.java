/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Pending callbacks, each waiting for a goal such as the commitment of an entry.
 *
 * <p>Invariant: each callback runs once, after it was removed from the list, so that it may
 * register again. Confined to the replica's thread.
 *
 * @param <T> the type of the goals
 */
final class Waiters<T> {
    private final List<Waiter<T>> mWaiters = new ArrayList<>();

    private record Waiter<T>(T goal, Consumer<Boolean> done) {}

    /**
     * Registers a callback.
     *
     * @param goal the goal to wait for
     * @param done called with true once the goal is reached, with false if the outcome is unknown
     */
    void add(T goal, Consumer<Boolean> done) {
        mWaiters.add(new Waiter<>(goal, done));
    }

    /** Completes the callbacks whose goal is reached. */
    void complete(Predicate<T> isReached) {
        List<Waiter<T>> reached = new ArrayList<>();
        mWaiters.removeIf(
                waiter -> {
                    boolean isDone = isReached.test(waiter.goal());
                    if (isDone) {
                        reached.add(waiter);
                    }
                    return isDone;
                });
        reached.forEach(waiter -> waiter.done().accept(true));
    }

    /** Fails all pending callbacks; whether their goals will be reached is unknown. */
    void fail() {
        List<Waiter<T>> failed = List.copyOf(mWaiters);
        mWaiters.clear();
        failed.forEach(waiter -> waiter.done().accept(false));
    }
}
