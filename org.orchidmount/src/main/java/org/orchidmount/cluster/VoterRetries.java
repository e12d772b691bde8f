/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.List;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.RetryDemand;
import org.orchidmount.cluster.ClusterMessage.RetryReply;
import org.orchidmount.cluster.ClusterMessage.RetryRequestMessage;
import org.orchidmount.consensus.Replica;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.retry.RetryAnswer;
import org.orchidmount.retry.RetryOwner;
import org.orchidmount.retry.RetryUse;

/**
 * Grants the retries of all entries while this voter leads a quorum, which no other voter does at
 * the same time. The owner's lease is the leader's, so the term identifies it. Confined to the
 * voter's thread.
 */
final class VoterRetries {
    private static final PartLog LOG = PartLog.of("retries");

    private final Replica mReplica;
    private final VoterLinks mLinks;
    private final VoterQuota mQuota;
    private final MonotonicClock mClock;
    private final RetryOwner mOwner = new RetryOwner();

    /** Term of the first lease of the site; 0 if the site has run before. */
    private final long mFirstTerm;

    private List<String> mDemanded = List.of();

    /**
     * Creates the state of a replica that has just started.
     *
     * @param replica the local replica
     * @param links the links to entries
     * @param quota knows the leader's address
     * @param isFirstStart whether the whole site starts for the first time
     * @param clock the monotonic clock
     */
    VoterRetries(
            Replica replica,
            VoterLinks links,
            VoterQuota quota,
            boolean isFirstStart,
            MonotonicClock clock) {
        mReplica = replica;
        mLinks = links;
        mQuota = quota;
        mFirstTerm = isFirstStart ? replica.term() + 1 : 0;
        mClock = clock;
    }

    /** Handles a request for retries; returns false for other messages. */
    boolean received(Link link, ClusterMessage message) {
        if (!(message instanceof RetryRequestMessage request)) {
            return false;
        }
        long nowNanos = mClock.nanoTime();
        // If this process was suspended, another voter may lead by now.
        mReplica.tick(nowNanos);
        RetryAnswer answer = RetryAnswer.NO_OWNER;
        if (mReplica.holdsQuorum()) {
            hold(nowNanos);
            answer = mOwner.ask(request.request(), entries(), nowNanos);
            boolean isReport = request.request().retries() == 0;
            if (!isReport && !mDemanded.contains(request.request().service())) {
                announceDemand();
            }
        }
        if (request.number() != 0) {
            link.send(new RetryReply(request.number(), answer, mQuota.leaderAddress()));
        }
        return true;
    }

    private void hold(long nowNanos) {
        mOwner.hold(mReplica.term(), mReplica.term() == mFirstTerm, nowNanos);
    }

    private RetryOwner.Entries entries() {
        return new RetryOwner.Entries(
                mLinks.entries(), mLinks.entriesSupporting(Capability.RETRY_LIMIT));
    }

    /** Asks the entries to report their requests for the services that need retries. */
    private void announceDemand() {
        mDemanded = mOwner.demanded(mClock.nanoTime());
        if (!mDemanded.isEmpty()) {
            mLinks.sendToEntriesSupporting(Capability.RETRY_LIMIT, new RetryDemand(mDemanded));
        }
    }

    /** Renews what was asked of entries, and logs the limits that are used up. */
    void runMaintenance() {
        if (!mReplica.holdsQuorum()) {
            mDemanded = List.of();
            return;
        }
        hold(mClock.nanoTime());
        announceDemand();
        uses().stream().filter(use -> use.refused() > 0).forEach(VoterRetries::log);
    }

    private static void log(RetryUse use) {
        LOG.info(
                "%s: %d retries granted in the last %d s of %.1f allowed, %d refused",
                use.service(),
                use.granted(),
                use.limit().window().toSeconds(),
                use.allowed(),
                use.refused());
    }

    /** Returns the use of all limits since this voter leads; empty if it does not lead. */
    List<RetryUse> uses() {
        if (!mReplica.holdsQuorum()) {
            return List.of();
        }
        hold(mClock.nanoTime());
        return mOwner.uses(entries(), mClock.nanoTime());
    }
}
