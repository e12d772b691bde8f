/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.List;
import java.util.Set;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.ReplicaMessage;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Registration;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaAsk;

/**
 * What instances say to each other.
 *
 * <p>Receivers tell messages apart by {@code instanceof} and not by a switch over patterns: the
 * first such switch that a process runs is linked at run time, by code that writes a class, and the
 * first messages come while an instance starts. Immutable.
 */
sealed interface ClusterMessage {
    /**
     * Opens a link in each direction.
     *
     * @param protocol the version of the protocol
     * @param node the sender's name
     * @param zone the sender's availability zone; empty if it does not say
     * @param voter the sender as a replica, or null if it is an entry
     * @param capabilities what the sender understands
     */
    record Greeting(
            int protocol, String node, String zone, Member voter, Set<Capability> capabilities)
            implements ClusterMessage {
        public Greeting {
            capabilities = Set.copyOf(capabilities);
        }

        /** Creates the greeting of an instance that tells no capabilities. */
        Greeting(int protocol, String node, String zone, Member voter) {
            this(protocol, node, zone, voter, Set.of());
        }

        /** Tells whether the sender understands something. */
        boolean knows(Capability capability) {
            return capabilities.contains(capability);
        }
    }

    /**
     * Carries what is known of requests that crash upstreams.
     *
     * @param records the records
     */
    record CrashRecords(List<CrashRecord> records) implements ClusterMessage {
        public CrashRecords {
            records = List.copyOf(records);
        }
    }

    /**
     * Carries what is known of limits that upstreams state.
     *
     * @param limits the limits, those that have ended too
     */
    record UpstreamLimitRecords(List<UpstreamLimit> limits) implements ClusterMessage {
        public UpstreamLimitRecords {
            limits = List.copyOf(limits);
        }
    }

    /** Shows that the sender lives. */
    record KeepAlive() implements ClusterMessage {}

    /**
     * Carries a message of the agreement.
     *
     * @param sender where answers go
     * @param message the message
     */
    record Replication(Member sender, ReplicaMessage message) implements ClusterMessage {}

    /** Names the voters, and the replicas that may become voters. */
    record Voters(List<Member> members) implements ClusterMessage {
        public Voters {
            members = List.copyOf(members);
        }
    }

    /**
     * Tells an entry which table is committed.
     *
     * @param version the table's version, 0 for none
     * @param inTouch whether the sender is in touch with a quorum
     * @param entries how many entries the sender serves
     */
    record TableNotice(long version, boolean inTouch, int entries) implements ClusterMessage {}

    /** Asks for the committed table. */
    record TableRequest() implements ClusterMessage {}

    /** Carries a committed table. */
    record TableDocument(long version, byte[] document) implements ClusterMessage {}

    /**
     * Carries registrations.
     *
     * @param number for departures that the sender has just received, echoed once the receiver
     *     holds them; 0 for what it knows, to which no answer is wanted
     * @param registrations the registrations
     */
    record Registrations(long number, List<Registration> registrations) implements ClusterMessage {
        public Registrations {
            registrations = List.copyOf(registrations);
        }

        /** Tells whether the sender has just received that these upstreams leave. */
        boolean isDeparture() {
            return number != 0;
        }
    }

    /**
     * Announces what instances have given to engines.
     *
     * @param sequences the sequences, in the order of the announcements
     */
    record InFlightSequences(List<InFlightSequence> sequences) implements ClusterMessage {
        public InFlightSequences {
            sequences = List.copyOf(sequences);
        }
    }

    /** Answers {@link Registrations}. */
    record RegistrationsHeld(long number) implements ClusterMessage {}

    /**
     * Asks the owner of the buckets for units of a limit.
     *
     * @param number echoed by the answer
     * @param ask what is to be used
     * @param isOwnerSilent whether the owner does not answer, so that others may grant it
     */
    record QuotaRequest(long number, QuotaAsk ask, boolean isOwnerSilent)
            implements ClusterMessage {}

    /**
     * Answers {@link QuotaRequest}.
     *
     * @param number the number of the request
     * @param answer the answer
     * @param owner the cluster address of the owner as the sender knows it; empty if it knows none
     */
    record QuotaReply(long number, QuotaAnswer answer, String owner) implements ClusterMessage {}

    /**
     * Gives units back that were granted and not used.
     *
     * @param key what is limited
     * @param units how many
     */
    record QuotaReturn(String key, long units) implements ClusterMessage {}
}
