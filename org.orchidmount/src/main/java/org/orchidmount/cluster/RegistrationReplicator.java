/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.cluster.ClusterMessage.RegistrationsHeld;
import org.orchidmount.consensus.Replica;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registry;

/**
 * Takes what upstreams say of themselves at one voter, and passes it on to voters and entries.
 *
 * <p>Invariant: an upstream that leaves is answered with true only once a quorum of the voters
 * holds that; one that stays needs no quorum, because it says the same again soon. Confined to the
 * voter's thread.
 */
final class RegistrationReplicator {
    private static final PartLog LOG = PartLog.of("voter");

    /** How long an upstream that has left is remembered. Chosen, not measured. */
    private static final Duration REMEMBERED = Duration.ofMinutes(10);

    /** The number of registrations that need no acknowledgement. */
    private static final long UNNUMBERED = 0;

    private final Replica mReplica;
    private final VoterLinks mLinks;
    private final TaskThread mTasks;
    private final MonotonicClock mClock;
    private final Registry mRegistry = new Registry(REMEMBERED.toNanos());
    private final Map<Long, Pending> mPending = new HashMap<>();

    /** Registrations received here since the other voters were last sent any. */
    private final Map<String, Registration> mReceived = new HashMap<>();

    private long mLastNumber = UNNUMBERED;

    /** A registration on its way to a quorum. */
    private static final class Pending {
        private final CompletableFuture<Boolean> mDone;
        private int mHolders = 1;

        Pending(CompletableFuture<Boolean> done) {
            mDone = done;
        }
    }

    /**
     * Creates a replicator that knows no upstreams.
     *
     * @param replica tells whether the other voters are reached, and how many are a quorum
     * @param links lead to voters and entries
     * @param tasks the voter's thread
     * @param clock the clock
     */
    RegistrationReplicator(
            Replica replica, VoterLinks links, TaskThread tasks, MonotonicClock clock) {
        mReplica = replica;
        mLinks = links;
        mTasks = tasks;
        mClock = clock;
    }

    /**
     * Takes what an upstream says of itself.
     *
     * @param done completed with true once it is known where it must be, with false if this voter
     *     may be cut off
     */
    void register(Registration registration, CompletableFuture<Boolean> done) {
        Optional<Registration> changed = mRegistry.merge(registration, mClock.nanoTime());
        changed.ifPresent(RegistrationReplicator::logChange);
        mReceived.put(registration.id(), registration);
        if (registration.state() != Registration.State.READY) {
            replicate(mRegistry.find(registration.id()).orElse(registration), done);
            return;
        }
        changed.ifPresent(this::forward);
        done.complete(mReplica.isInTouch());
    }

    /**
     * Takes the word of an upstream that it leaves.
     *
     * @param done completed with true once a quorum of the voters knows, with false if this voter
     *     may be cut off
     */
    void leave(String id, CompletableFuture<Boolean> done) {
        Registration gone = mRegistry.leave(id, mClock.nanoTime());
        logChange(gone);
        replicate(gone, done);
    }

    private void replicate(Registration leaving, CompletableFuture<Boolean> done) {
        if (!mReplica.isInTouch()) {
            forward(leaving);
            done.complete(false);
            return;
        }
        long number = ++mLastNumber;
        mPending.put(number, new Pending(done));
        done.whenComplete((held, error) -> mTasks.post(() -> mPending.remove(number)));
        mLinks.sendToVoters(new Registrations(number, List.of(leaving)));
        mLinks.sendToEntries(new Registrations(UNNUMBERED, List.of(leaving)));
        checkQuorum(number);
    }

    private void checkQuorum(long number) {
        Pending pending = mPending.get(number);
        if (pending != null && pending.mHolders >= mReplica.state().quorum()) {
            pending.mDone.complete(true);
        }
    }

    private void forward(Registration changed) {
        Registrations message = new Registrations(UNNUMBERED, List.of(changed));
        mLinks.sendToVoters(message);
        mLinks.sendToEntries(message);
    }

    private static void logChange(Registration changed) {
        LOG.info(
                "upstream %s of %s at %s is %s, stage %s, sequence %d",
                changed.id(),
                changed.service(),
                changed.address(),
                changed.state(),
                changed.stage(),
                changed.sequence());
    }

    /** Takes registrations of another instance, and acknowledges those that have a number. */
    void receive(Link link, Registrations registrations) {
        for (Registration registration : registrations.registrations()) {
            mRegistry.merge(registration, mClock.nanoTime()).ifPresent(this::forward);
        }
        if (registrations.number() != UNNUMBERED) {
            link.send(new RegistrationsHeld(registrations.number()));
        }
    }

    /** Counts the acknowledgement of a voter. */
    void acknowledged(Link link, RegistrationsHeld held) {
        Pending pending = mPending.get(held.number());
        if (pending != null && mLinks.isVoter(link)) {
            pending.mHolders++;
            checkQuorum(held.number());
        }
    }

    /** Returns all that is known, for an instance that has just connected. */
    Registrations all() {
        return new Registrations(UNNUMBERED, mRegistry.all());
    }

    /** Returns the upstreams that were heard of since a time. */
    List<Registration> heardSince(long sinceNanos) {
        return mRegistry.heardSince(sinceNanos);
    }

    /** Sends the other voters what was received here since the last time, and forgets the old. */
    void refresh(long nowNanos) {
        mRegistry.forgetOld(nowNanos);
        if (!mReceived.isEmpty()) {
            mLinks.sendToVoters(new Registrations(UNNUMBERED, List.copyOf(mReceived.values())));
            mReceived.clear();
        }
    }
}
