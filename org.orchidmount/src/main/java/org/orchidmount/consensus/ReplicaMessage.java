/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/**
 * What replicas say to each other. Every message names its sender's term.
 *
 * <p>Told apart by {@code instanceof}, since a switch over patterns is linked at run time, while
 * the group is electing its first leader after a start. Immutable.
 */
public sealed interface ReplicaMessage {
    /**
     * Returns the sender's term.
     *
     * @return the term; for a trial vote, the term the sender would begin
     */
    long term();

    /**
     * Returns the sender's identity.
     *
     * @return the identity
     */
    String from();

    /**
     * Asks for a vote.
     *
     * @param trial true if no vote is cast: the sender only asks whether one would be
     */
    record VoteRequest(long term, String from, EntryId newest, boolean trial)
            implements ReplicaMessage {}

    /** Answers a request for a vote. */
    record VoteReply(long term, String from, boolean granted, boolean trial)
            implements ReplicaMessage {}

    /**
     * Tells a follower that its leader lives, what it holds and what is committed.
     *
     * @param entry the place of the leader's state
     * @param state the state, or null if the follower is thought to hold it
     * @param committed the place up to which states are committed
     * @param round the number of this round of heartbeats, echoed by the follower
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
     * Answers an {@link Append}.
     *
     * @param durable the place of the state on the follower's disk
     * @param round the number of the round answered
     */
    record AppendReply(long term, String from, EntryId durable, long round)
            implements ReplicaMessage {}

    /**
     * A replica that is no voter, or does not know its leader, makes itself known.
     *
     * @param member the sender
     * @param durable the place of the state on its disk
     */
    record Hello(long term, Member member, EntryId durable) implements ReplicaMessage {
        @Override
        public String from() {
            return member.id();
        }
    }
}
