/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.ReplicaMessage;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.EvidenceReport;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Registration;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.retry.RetryAnswer;
import org.orchidmount.retry.RetryRequest;
import org.orchidmount.stream.StreamKey;
import org.orchidmount.stream.StreamRecord;
import org.orchidmount.waiting.WaitingRequest;

/**
 * A message between instances.
 *
 * <p>Receivers distinguish messages by {@code instanceof} rather than by a pattern switch: the
 * first pattern switch executed in a process is linked at run time by generating a class, which
 * would delay the first messages, received while an instance starts. Immutable.
 */
sealed interface ClusterMessage {
    /**
     * First message on a link, sent by both sides.
     *
     * @param protocol the protocol version
     * @param node the sender's instance name
     * @param zone the sender's availability zone; empty if not stated
     * @param voter the sender as a replica; null if it is an entry
     * @param capabilities the capabilities that the sender supports
     * @param tunnels how the sender opens tunnels for other entries; empty if it does not
     */
    record Greeting(
            int protocol,
            String node,
            String zone,
            Member voter,
            Set<Capability> capabilities,
            Optional<TunnelPeer> tunnels)
            implements ClusterMessage {
        public Greeting {
            capabilities = Set.copyOf(capabilities);
        }

        /** Creates a greeting of an instance that opens no tunnels. */
        Greeting(
                int protocol,
                String node,
                String zone,
                Member voter,
                Set<Capability> capabilities) {
            this(protocol, node, zone, voter, capabilities, Optional.empty());
        }

        /** Creates a greeting without capabilities. */
        Greeting(int protocol, String node, String zone, Member voter) {
            this(protocol, node, zone, voter, Set.of());
        }

        /** Returns whether the sender supports a capability. */
        boolean supports(Capability capability) {
            return capabilities.contains(capability);
        }
    }

    /**
     * Crash records, which count the crashes that requests have caused at upstreams.
     *
     * @param records the records
     */
    record CrashRecords(List<CrashRecord> records) implements ClusterMessage {
        public CrashRecords {
            records = List.copyOf(records);
        }
    }

    /**
     * Rate limits stated by upstreams.
     *
     * @param limits the limits, including those no longer in force
     */
    record UpstreamLimitRecords(List<UpstreamLimit> limits) implements ClusterMessage {
        public UpstreamLimitRecords {
            limits = List.copyOf(limits);
        }
    }

    /**
     * What an entry has observed of upstreams, for a voter.
     *
     * @param report the observations since the previous report
     */
    record EvidenceReportMessage(EvidenceReport report) implements ClusterMessage {}

    /**
     * Merged evidence of a voter, for an entry.
     *
     * @param digest the evidence that has changed
     */
    record EvidenceDigestMessage(EvidenceDigest digest) implements ClusterMessage {}

    /**
     * Requests that wait for memory of decode engines.
     *
     * @param requests the requests, in the order of their announcement
     */
    record WaitingRequestsMessage(List<WaitingRequest> requests) implements ClusterMessage {
        public WaitingRequestsMessage {
            requests = List.copyOf(requests);
        }
    }

    /**
     * Entries that open tunnels for the receiver.
     *
     * @param peers the entries
     */
    record TunnelOffers(List<TunnelPeer> peers) implements ClusterMessage {
        public TunnelOffers {
            peers = List.copyOf(peers);
        }
    }

    /**
     * Tells a voter how the sending entry reaches upstreams.
     *
     * @param path the path of its new connections
     */
    record PathReport(ConnectionPath path) implements ClusterMessage {}

    /**
     * Origins of streams that began at the sending entry.
     *
     * @param streams the records
     */
    record StreamRecords(List<StreamRecord> streams) implements ClusterMessage {
        public StreamRecords {
            streams = List.copyOf(streams);
        }
    }

    /**
     * Requests the origin of a stream from a voter.
     *
     * @param number identifier echoed by the reply
     * @param key the stream
     */
    record StreamRequest(long number, StreamKey key) implements ClusterMessage {}

    /**
     * Reply to a {@link StreamRequest}.
     *
     * @param number the number of the request
     * @param stream the record; empty if the voter does not know the origin
     */
    record StreamReply(long number, Optional<StreamRecord> stream) implements ClusterMessage {}

    /**
     * Requests retries from the leading voter, and reports requests to it.
     *
     * @param number identifier echoed by the reply; 0 for a report, which has none
     * @param request the requests and the retries
     */
    record RetryRequestMessage(long number, RetryRequest request) implements ClusterMessage {}

    /**
     * Reply to a {@link RetryRequestMessage}.
     *
     * @param number the number of the request
     * @param answer the outcome
     * @param owner the leader's cluster address as known to the sender; empty if unknown
     */
    record RetryReply(long number, RetryAnswer answer, String owner) implements ClusterMessage {}

    /**
     * Asks an entry to report its requests for some time.
     *
     * @param services names of the services
     */
    record RetryDemand(List<String> services) implements ClusterMessage {
        public RetryDemand {
            services = List.copyOf(services);
        }
    }

    /** Keep-alive, sent on an otherwise idle link. */
    record KeepAlive() implements ClusterMessage {}

    /**
     * Envelope of a consensus message.
     *
     * @param sender the replica to which replies are sent
     * @param message the consensus message
     */
    record Replication(Member sender, ReplicaMessage message) implements ClusterMessage {}

    /** Lists the voters and the replicas that may become voters. */
    record Voters(List<Member> members) implements ClusterMessage {
        public Voters {
            members = List.copyOf(members);
        }
    }

    /**
     * Announces the version of the committed route table to an entry.
     *
     * @param version the table's version, 0 if there is none
     * @param hasQuorum whether the sender has contact with a quorum
     * @param entries the number of entries linked to the sender
     */
    record TableNotice(long version, boolean hasQuorum, int entries) implements ClusterMessage {}

    /** Request for the committed route table. */
    record TableRequest() implements ClusterMessage {}

    /** The committed route table. */
    record TableDocument(long version, byte[] document) implements ClusterMessage {}

    /**
     * Registrations of upstreams.
     *
     * @param number for departures that the sender has just received, an identifier that the
     *     receiver echoes once it holds them; 0 for known registrations, which are not acknowledged
     * @param registrations the registrations
     */
    record Registrations(long number, List<Registration> registrations) implements ClusterMessage {
        public Registrations {
            registrations = List.copyOf(registrations);
        }

        /**
         * Returns whether these are departures that the sender has just received and that must be
         * acknowledged.
         */
        boolean isDeparture() {
            return number != 0;
        }
    }

    /**
     * Progress of sequences that instances have sent to engines.
     *
     * @param sequences the sequences, in the order of their announcement
     */
    record InFlightSequences(List<InFlightSequence> sequences) implements ClusterMessage {
        public InFlightSequences {
            sequences = List.copyOf(sequences);
        }
    }

    /** Acknowledges the departures of a {@link Registrations} message. */
    record RegistrationsAck(long number) implements ClusterMessage {}

    /**
     * Requests units of a limit from the owner of the token buckets.
     *
     * @param number identifier echoed by the reply
     * @param request the key, its limit and the units requested
     * @param isOwnerSilent whether the owner does not respond, so that another voter may grant
     *     units from its reserve
     */
    record QuotaRequestMessage(long number, QuotaRequest request, boolean isOwnerSilent)
            implements ClusterMessage {}

    /**
     * Reply to a {@link QuotaRequestMessage}.
     *
     * @param number the number of the request
     * @param answer the outcome
     * @param owner the owner's cluster address as known to the sender; empty if unknown
     */
    record QuotaReply(long number, QuotaAnswer answer, String owner) implements ClusterMessage {}

    /**
     * Returns units that were granted but not used.
     *
     * @param key the limited key
     * @param units the number of units
     */
    record QuotaReturn(String key, long units) implements ClusterMessage {}
}
