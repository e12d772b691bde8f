/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/**
 * A message between replicas. Every message carries its sender's term.
 *
 * <p>Handlers dispatch by {@code instanceof}: a pattern switch is linked at run time, which would
 * delay the first election after a start. Immutable.
 */
public sealed interface ReplicaMessage {
    /**
     * Returns the sender's term.
     *
     * @return the term; in a pre-vote request, the term that the sender would start
     */
    long term();

    /**
     * Returns the identity of the sender.
     *
     * @return the identity
     */
    String from();

    /**
     * Requests a vote.
     *
     * @param newest the id of the newest entry that the sender holds
     * @param preVote true for a pre-vote: the receiver answers whether it would vote, but casts no
     *     vote
     */
    record VoteRequest(long term, String from, EntryId newest, boolean preVote)
            implements ReplicaMessage {}

    /** Replies to a {@link VoteRequest}. */
    record VoteReply(long term, String from, boolean granted, boolean preVote)
            implements ReplicaMessage {}

    /**
     * Replicates the leader's entry to a follower, and serves as the heartbeat.
     *
     * @param entry the id of the leader's newest entry
     * @param state the state of that entry, or null if the follower is believed to have it or to be
     *     about to receive it
     * @param committed the id of the newest committed entry
     * @param round the number of the heartbeat round, echoed in the reply
     */
    record Append(
            long term,
            Member leader,
            EntryId entry,
            GroupState state,
            EntryId committed,
            long round)
            implements ReplicaMessage {
        @Override
        public String from() {
            return leader.id();
        }
    }

    /**
     * Replies to an {@link Append}.
     *
     * @param durable the id of the newest entry synced to the follower's disk
     * @param round the number of the heartbeat round that is acknowledged
     */
    record AppendReply(long term, String from, EntryId durable, long round)
            implements ReplicaMessage {}

    /**
     * Announces a replica that is not a voter or does not know the leader, so that the leader sends
     * it the state.
     *
     * @param member the sender
     * @param durable the id of the newest entry synced to its disk
     */
    record Announce(long term, Member member, EntryId durable) implements ReplicaMessage {
        @Override
        public String from() {
            return member.id();
        }
    }
}
