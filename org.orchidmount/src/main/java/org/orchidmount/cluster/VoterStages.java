/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.consensus.Replica;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registry;

/**
 * Has a voter order the stages of engines while it leads a quorum. Confined to the voter's thread.
 */
final class VoterStages {
    /** Time for the voter's thread to confirm that the voter still leads. */
    private static final long CONFIRM_MILLIS = 50;

    private final StageController mController;
    private final Replica mReplica;
    private final Registry mRegistry;
    private final TaskThread mTasks;
    private final MonotonicClock mClock;

    VoterStages(
            StageController controller,
            Replica replica,
            Registry registry,
            TaskThread tasks,
            MonotonicClock clock) {
        mController = controller;
        mReplica = replica;
        mRegistry = registry;
        mTasks = tasks;
        mClock = clock;
    }

    void tick(long nowNanos) {
        long term = mReplica.holdsQuorum() ? mReplica.term() : -1;
        long countedNanos = nowNanos - mController.countedWithin().toNanos();
        long expectedNanos = nowNanos - mController.expectedWithin().toNanos();
        List<Registration> current = mRegistry.receivedBetween(countedNanos, nowNanos + 1);
        List<Registration> silent = mRegistry.receivedBetween(expectedNanos, countedNanos);
        mController.tick(term, current, silent, () -> stillLeads(term), nowNanos);
    }

    /** Returns, on another thread, whether this voter leads a quorum in a term. */
    private boolean stillLeads(long term) {
        CompletableFuture<Boolean> leads = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    mReplica.tick(mClock.nanoTime());
                    leads.complete(mReplica.holdsQuorum() && mReplica.term() == term);
                });
        return leads.completeOnTimeout(false, CONFIRM_MILLIS, TimeUnit.MILLISECONDS).join();
    }
}
