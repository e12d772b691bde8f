/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.OptionalLong;
import org.orchidmount.cluster.ClusterMessage.QuotaReply;
import org.orchidmount.cluster.ClusterMessage.QuotaRequest;
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
 * What a voter grants of limits that all entries share: as their owner while it leads a quorum,
 * which no other does then, and else a few while the leader is silent. The lease of the owner is
 * the leader's, so its number is the term. Confined to the voter's thread.
 */
final class VoterQuota {
    private static final PartLog LOG = PartLog.of("quota");

    private final Replica mReplica;
    private final Member mSelf;
    private final QuotaOwner mOwner = new QuotaOwner();
    private final QuotaReserve mReserve;
    private final LeaseHistory mLeases;

    /**
     * Creates it for a replica that has just started.
     *
     * @param replica the replica
     * @param self the replica as the others know it
     * @param isFirstStart whether the whole site starts for the first time
     * @param nowNanos the monotonic time
     */
    VoterQuota(Replica replica, Member self, boolean isFirstStart, long nowNanos) {
        mReplica = replica;
        mSelf = self;
        mReserve = new QuotaReserve(isFirstStart, nowNanos);
        mLeases = new LeaseHistory(replica.term(), isFirstStart, nowNanos);
    }

    /** Notes which lease there is; to be called more often than leases begin. */
    void tick(long nowNanos) {
        mLeases.see(mReplica.term(), nowNanos);
    }

    /** Answers an entry; the replica has to have looked at the clock. */
    QuotaReply answer(QuotaRequest request, long nowNanos) {
        tick(nowNanos);
        QuotaAnswer answer = QuotaAnswer.NO_OWNER;
        if (mReplica.holdsQuorum()) {
            mOwner.hold(mReplica.term(), mLeases.formerNanos(), nowNanos);
            answer = mOwner.ask(request.ask(), nowNanos);
        } else if (request.isOwnerSilent() && isMember()) {
            int voters = mReplica.state().members().size();
            answer = mReserve.ask(request.ask(), voters, nowNanos);
        }
        return new QuotaReply(request.number(), answer, leaderAddress());
    }

    /** A replica that only learns yet is not among those that share the reserve. */
    private boolean isMember() {
        return mReplica.state().members().stream()
                .anyMatch(member -> member.id().equals(mSelf.id()));
    }

    /** Returns the leader's cluster address; empty if none is known. */
    private String leaderAddress() {
        return mReplica.hasQuorumContact() ? mReplica.leader().map(Member::address).orElse("") : "";
    }

    /** Takes back what was granted and not used. */
    void giveBack(QuotaReturn units, long nowNanos) {
        mOwner.giveBack(units.key(), units.units(), nowNanos);
    }

    /** Returns how many requests were granted while this voter leads; nothing if it does not. */
    OptionalLong granted(String key) {
        return mReplica.holdsQuorum() ? OptionalLong.of(mOwner.granted(key)) : OptionalLong.empty();
    }

    /** Logs what was granted of keys that were refused anything since the last call. */
    void logUses() {
        mOwner.takeUses().forEach(VoterQuota::logUse);
    }

    private static void logUse(QuotaUse use) {
        LOG.info(
                "%s: %d granted with %d units, %d refused in the last second; limit %d:"
                        + " %.1f a second and %.1f at once",
                use.key().replace('\0', ' '),
                use.granted(),
                use.grantedUnits(),
                use.refused(),
                use.version(),
                use.limit().ratePerSecond(),
                use.limit().burst());
    }
}
