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
 * Callers that wait until the group has reached something.
 *
 * <p>Invariant: each caller is answered once, and only after it was taken off the list, so that it
 * may wait again from within its answer. Confined to the replica's thread.
 *
 * @param <T> what they wait for
 */
final class Waiters<T> {
    private final List<Waiter<T>> mWaiters = new ArrayList<>();

    private record Waiter<T>(T goal, Consumer<Boolean> done) {}

    /**
     * Adds a caller.
     *
     * @param goal what it waits for
     * @param done called with true once that is reached, false if it is not known
     */
    void add(T goal, Consumer<Boolean> done) {
        mWaiters.add(new Waiter<>(goal, done));
    }

    /** Answers those whose goal is reached. */
    void release(Predicate<T> isReached) {
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

    /** Answers all that it is not known whether their goal will be reached. */
    void fail() {
        List<Waiter<T>> failed = List.copyOf(mWaiters);
        mWaiters.clear();
        failed.forEach(waiter -> waiter.done().accept(false));
    }
}
