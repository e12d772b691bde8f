/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.orchidmount.cluster.ClusterMessage.QuotaReply;
import org.orchidmount.cluster.ClusterMessage.QuotaRequestMessage;
import org.orchidmount.cluster.ClusterMessage.QuotaReturn;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaRequest;

/**
 * An entry's requests for quota to the owner of the token buckets, which is the leading voter.
 *
 * <p>An entry asks the voter that it last knew to lead; a voter that does not lead names the
 * leader, which is asked next. While the leader does not respond, or there is none, another voter
 * is asked to grant units from its reserve, without the lease; entries and keys are spread over all
 * voters, so that the reserves of all are used. Invariant: units granted after the caller has given
 * up are returned. Confined to the entry's thread.
 */
final class QuotaRequests {
    private static final PartLog LOG = PartLog.of("quota");

    /**
     * Maximum number of attempts: one each at any voter, the leader that it names, and a new
     * leader.
     */
    private static final int MAX_ATTEMPTS = 3;

    private final int mSpread;
    private final Map<Long, Pending> mPending = new LinkedHashMap<>();
    private final TreeMap<HostPort, Link> mVoters =
            new TreeMap<>(Comparator.comparing(HostPort::toString));
    private long mLastNumber;

    /** Leading voter as far as known; null if unknown. */
    private HostPort mOwner;

    /** A request that awaits a voter's reply. */
    private record Pending(
            QuotaRequest request,
            CompletableFuture<QuotaAnswer> answer,
            HostPort asked,
            boolean isOwnerSilent,
            int attempts) {}

    /**
     * Creates an instance without linked voters.
     *
     * @param spread a number specific to this entry, so that entries ask different voters
     */
    QuotaRequests(int spread) {
        mSpread = spread;
    }

    /** Adds a linked voter. */
    void onVoterLinked(HostPort voter, Link link) {
        mVoters.put(voter, link);
    }

    /** Removes a voter whose link was lost; its pending requests are sent to another voter. */
    void onVoterLost(HostPort voter, Link link) {
        if (!mVoters.remove(voter, link)) {
            return;
        }
        if (voter.equals(mOwner)) {
            mOwner = null;
        }
        List<Pending> asked = new ArrayList<>(mPending.values());
        asked.removeIf(pending -> !pending.asked().equals(voter));
        mPending.values().removeIf(pending -> pending.asked().equals(voter));
        asked.removeIf(pending -> pending.answer().isDone());
        asked.forEach(pending -> send(pending.request(), pending.answer(), pending.attempts()));
    }

    /**
     * Requests units; the future completes with the reply, or with {@code NO_OWNER} if no voter can
     * grant them.
     */
    void ask(QuotaRequest request, CompletableFuture<QuotaAnswer> answer) {
        send(request, answer, 0);
    }

    private void send(QuotaRequest request, CompletableFuture<QuotaAnswer> answer, int attempts) {
        boolean isOwnerUsable = isOwnerUsable();
        HostPort asked = isOwnerUsable ? mOwner : voterWithoutLease(request);
        if (asked == null || attempts >= MAX_ATTEMPTS) {
            answer.complete(QuotaAnswer.NO_OWNER);
            return;
        }
        long number = ++mLastNumber;
        boolean isOwnerSilent = !isOwnerUsable && (mOwner != null || attempts > 0);
        mPending.put(number, new Pending(request, answer, asked, isOwnerSilent, attempts + 1));
        mVoters.get(asked).send(new QuotaRequestMessage(number, request, isOwnerSilent));
    }

    private boolean isOwnerUsable() {
        return mOwner != null && mVoters.containsKey(mOwner) && !isSilent(mOwner);
    }

    /**
     * Returns whether a voter is considered silent: the caller of its oldest pending request has
     * given up.
     */
    private boolean isSilent(HostPort voter) {
        return mPending.values().stream()
                .filter(pending -> pending.asked().equals(voter))
                .findFirst()
                .map(oldest -> oldest.answer().isDone())
                .orElse(false);
    }

    /** Returns a responsive voter chosen by entry and key; null if there is none. */
    private HostPort voterWithoutLease(QuotaRequest request) {
        List<HostPort> answering =
                mVoters.keySet().stream().filter(voter -> !isSilent(voter)).toList();
        if (answering.isEmpty()) {
            return null;
        }
        return answering.get(Math.floorMod(mSpread + request.key().hashCode(), answering.size()));
    }

    /** Handles the reply of a voter. */
    void onReply(QuotaReply reply) {
        Pending pending = mPending.remove(reply.number());
        learnOwner(reply);
        if (pending == null) {
            return;
        }
        if (reply.answer().outcome() == QuotaAnswer.Outcome.NO_OWNER) {
            onNoOwner(pending);
        } else if (!pending.answer().complete(reply.answer())) {
            refundTo(pending.asked(), pending.request(), reply.answer());
        }
    }

    private void learnOwner(QuotaReply reply) {
        HostPort named = reply.owner().isEmpty() ? null : HostPort.parse(reply.owner());
        if (named != null && !named.equals(mOwner)) {
            LOG.info("%s is now the quota owner", named);
        }
        mOwner = named;
    }

    /**
     * Retries a request after a reply without an owner: asks the owner that the reply named, else a
     * voter that may grant units without the lease, unless the reply came from such a voter.
     */
    private void onNoOwner(Pending pending) {
        boolean hasOwner = isOwnerUsable() && !mOwner.equals(pending.asked());
        boolean mayAsk = hasOwner || !pending.isOwnerSilent();
        if (mayAsk && !pending.answer().isDone()) {
            send(pending.request(), pending.answer(), pending.attempts());
        } else {
            pending.answer().complete(QuotaAnswer.NO_OWNER);
        }
    }

    /** Returns units that were granted too late to the voter that granted them. */
    private void refundTo(HostPort voter, QuotaRequest request, QuotaAnswer answer) {
        Link link = mVoters.get(voter);
        if (answer.outcome() == QuotaAnswer.Outcome.GRANTED && link != null) {
            link.send(new QuotaReturn(request.key(), request.units()));
        }
    }

    /** Returns unused units to the current owner, even if its predecessor granted them. */
    void refund(String key, long units) {
        Link link = mOwner == null ? null : mVoters.get(mOwner);
        if (link != null) {
            link.send(new QuotaReturn(key, units));
        }
    }
}
