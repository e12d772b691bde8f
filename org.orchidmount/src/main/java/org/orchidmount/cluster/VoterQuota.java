/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.OptionalLong;
import org.orchidmount.cluster.ClusterMessage.QuotaReply;
import org.orchidmount.cluster.ClusterMessage.QuotaRequestMessage;
import org.orchidmount.cluster.ClusterMessage.QuotaReturn;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.Replica;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.quota.LeaseHistory;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaOwner;
import org.orchidmount.quota.QuotaReserve;
import org.orchidmount.quota.QuotaUse;

/**
 * Grants units of limits shared by all entries: as the owner of the limits while this voter leads a
 * quorum, which no other voter does at the same time; otherwise a few units from a reserve while
 * the leader is silent. The owner's lease is the leader's, so the term identifies it. Confined to
 * the voter's thread.
 */
final class VoterQuota {
    private static final PartLog LOG = PartLog.of("quota");

    private final Replica mReplica;
    private final Member mSelf;
    private final QuotaOwner mOwner = new QuotaOwner();
    private final QuotaReserve mReserve;
    private final LeaseHistory mLeases;

    /**
     * Creates the quota state of a replica that has just started.
     *
     * @param replica the local replica
     * @param self the replica as known to the others
     * @param isFirstStart whether the whole site starts for the first time
     * @param nowNanos the monotonic time
     */
    VoterQuota(Replica replica, Member self, boolean isFirstStart, long nowNanos) {
        mReplica = replica;
        mSelf = self;
        mReserve = new QuotaReserve(isFirstStart, nowNanos);
        mLeases = new LeaseHistory(replica.term(), isFirstStart, nowNanos);
    }

    /** Records the current lease; must be called more often than leases begin. */
    void tick(long nowNanos) {
        mLeases.observe(mReplica.term(), nowNanos);
    }

    /**
     * Answers a request of an entry. The replica must have been ticked just before, so that an
     * expired leadership is noticed.
     */
    QuotaReply answer(QuotaRequestMessage message, long nowNanos) {
        tick(nowNanos);
        QuotaAnswer answer = QuotaAnswer.NO_OWNER;
        if (mReplica.holdsQuorum()) {
            mOwner.hold(mReplica.term(), mLeases.previousLeaseNanos(), nowNanos);
            answer = mOwner.ask(message.request(), nowNanos);
        } else if (message.isOwnerSilent() && isMember()) {
            int voters = mReplica.state().members().size();
            answer = mReserve.ask(message.request(), voters, nowNanos);
        }
        return new QuotaReply(message.number(), answer, leaderAddress());
    }

    /**
     * Returns whether this replica is a voting member; one that is still catching up has no share
     * of the reserve.
     */
    private boolean isMember() {
        return mReplica.state().members().stream()
                .anyMatch(member -> member.id().equals(mSelf.id()));
    }

    /** Returns the leader's cluster address; empty if unknown. */
    String leaderAddress() {
        return mReplica.hasQuorumContact() ? mReplica.leader().map(Member::address).orElse("") : "";
    }

    /** Takes back units that were granted but not used. */
    void refund(QuotaReturn units, long nowNanos) {
        mOwner.refund(units.key(), units.units(), nowNanos);
    }

    /**
     * Returns the number of requests granted since this voter became leader; empty if it does not
     * lead.
     */
    OptionalLong granted(String key) {
        return mReplica.holdsQuorum() ? OptionalLong.of(mOwner.granted(key)) : OptionalLong.empty();
    }

    /** Logs the use of keys for which requests were refused since the last call. */
    void logUses() {
        mOwner.drainUses().forEach(VoterQuota::logUse);
    }

    private static void logUse(QuotaUse use) {
        LOG.info(
                "%s: %d requests granted with %d units, %d refused in the last second; limit"
                        + " version %d: %.1f units/s, burst %.1f",
                use.key().replace('\0', ' '),
                use.granted(),
                use.grantedUnits(),
                use.refused(),
                use.version(),
                use.limit().ratePerSecond(),
                use.limit().burst());
    }
}
