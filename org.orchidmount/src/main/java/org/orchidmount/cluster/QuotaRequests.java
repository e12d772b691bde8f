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
import org.orchidmount.cluster.ClusterMessage.QuotaRequest;
import org.orchidmount.cluster.ClusterMessage.QuotaReturn;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaAsk;

/**
 * The questions of an entry to the owner of the buckets, which is the voter that leads.
 *
 * <p>An entry asks the voter that it last knew to lead; one that does not names the leader, which
 * is asked next. While the leader is silent, or there is none, another voter is asked to grant what
 * it may without the lease; entries and keys are spread over all voters, so that what each may
 * grant is used. Invariant: units that are granted to nobody who waits are given back. Confined to
 * the entry's thread.
 */
final class QuotaRequests {
    private static final PartLog LOG = PartLog.of("quota");

    /** How often a question is sent: to a voter, to the leader it names, and to a successor. */
    private static final int MAX_TRIES = 3;

    private final int mSpread;
    private final Map<Long, Pending> mPending = new LinkedHashMap<>();
    private final TreeMap<HostPort, Link> mVoters =
            new TreeMap<>(Comparator.comparing(HostPort::toString));
    private long mLastNumber;

    /** The voter that leads, as far as is known here; null if none is known. */
    private HostPort mOwner;

    /** A question that waits for an answer of a voter. */
    private record Pending(
            QuotaAsk ask,
            CompletableFuture<QuotaAnswer> answer,
            HostPort asked,
            boolean isOwnerSilent,
            int tries) {}

    /**
     * Creates it without any voter.
     *
     * @param spread a number of this entry, so that entries ask different voters
     */
    QuotaRequests(int spread) {
        mSpread = spread;
    }

    /** Learns that a voter can be asked. */
    void linked(HostPort voter, Link link) {
        mVoters.put(voter, link);
    }

    /** Learns that a voter is lost: what it was asked is asked of another. */
    void lost(HostPort voter, Link link) {
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
        asked.forEach(pending -> send(pending.ask(), pending.answer(), pending.tries()));
    }

    /** Asks for units. */
    void ask(QuotaAsk ask, CompletableFuture<QuotaAnswer> answer) {
        send(ask, answer, 0);
    }

    private void send(QuotaAsk ask, CompletableFuture<QuotaAnswer> answer, int tries) {
        boolean isOwnerUsable = isOwnerUsable();
        HostPort asked = isOwnerUsable ? mOwner : voterWithoutLease(ask);
        if (asked == null || tries >= MAX_TRIES) {
            answer.complete(QuotaAnswer.NO_OWNER);
            return;
        }
        long number = ++mLastNumber;
        boolean isOwnerSilent = !isOwnerUsable && (mOwner != null || tries > 0);
        mPending.put(number, new Pending(ask, answer, asked, isOwnerSilent, tries + 1));
        mVoters.get(asked).send(new QuotaRequest(number, ask, isOwnerSilent));
    }

    private boolean isOwnerUsable() {
        return mOwner != null && mVoters.containsKey(mOwner) && !isSilent(mOwner);
    }

    /** Tells whether a voter has let the one who waited for its oldest answer give up. */
    private boolean isSilent(HostPort voter) {
        return mPending.values().stream()
                .filter(pending -> pending.asked().equals(voter))
                .findFirst()
                .map(oldest -> oldest.answer().isDone())
                .orElse(false);
    }

    /** Chooses a voter that answers; null if there is none. */
    private HostPort voterWithoutLease(QuotaAsk ask) {
        List<HostPort> answering =
                mVoters.keySet().stream().filter(voter -> !isSilent(voter)).toList();
        if (answering.isEmpty()) {
            return null;
        }
        return answering.get(Math.floorMod(mSpread + ask.key().hashCode(), answering.size()));
    }

    /** Takes an answer. */
    void received(QuotaReply reply) {
        Pending pending = mPending.remove(reply.number());
        learnOwner(reply);
        if (pending == null) {
            return;
        }
        if (reply.answer().outcome() == QuotaAnswer.Outcome.NO_OWNER) {
            onNoOwner(pending);
        } else if (!pending.answer().complete(reply.answer())) {
            giveBackTo(pending.asked(), pending.ask(), reply.answer());
        }
    }

    private void learnOwner(QuotaReply reply) {
        HostPort named = reply.owner().isEmpty() ? null : HostPort.parse(reply.owner());
        if (named != null && !named.equals(mOwner)) {
            LOG.info("%s owns the limits of accounts", named);
        }
        mOwner = named;
    }

    /**
     * Asks the owner that an answer has named, or without one a voter that may grant without the
     * lease, unless the answer came from one.
     */
    private void onNoOwner(Pending pending) {
        boolean hasOwner = isOwnerUsable() && !mOwner.equals(pending.asked());
        boolean mayAsk = hasOwner || !pending.isOwnerSilent();
        if (mayAsk && !pending.answer().isDone()) {
            send(pending.ask(), pending.answer(), pending.tries());
        } else {
            pending.answer().complete(QuotaAnswer.NO_OWNER);
        }
    }

    /** Units that came too late go back to the voter that granted them. */
    private void giveBackTo(HostPort voter, QuotaAsk ask, QuotaAnswer answer) {
        Link link = mVoters.get(voter);
        if (answer.outcome() == QuotaAnswer.Outcome.GRANTED && link != null) {
            link.send(new QuotaReturn(ask.key(), ask.units()));
        }
    }

    /** Gives units back to the owner, also to a successor: they were used nowhere. */
    void giveBack(String key, long units) {
        Link link = mOwner == null ? null : mVoters.get(mOwner);
        if (link != null) {
            link.send(new QuotaReturn(key, units));
        }
    }
}
