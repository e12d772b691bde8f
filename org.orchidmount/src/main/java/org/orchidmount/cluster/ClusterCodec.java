/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.orchidmount.cluster.ClusterMessage.CrashRecords;
import org.orchidmount.cluster.ClusterMessage.EvidenceDigestMessage;
import org.orchidmount.cluster.ClusterMessage.EvidenceReportMessage;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.InFlightSequences;
import org.orchidmount.cluster.ClusterMessage.KeepAlive;
import org.orchidmount.cluster.ClusterMessage.PathReport;
import org.orchidmount.cluster.ClusterMessage.QuotaReply;
import org.orchidmount.cluster.ClusterMessage.QuotaRequestMessage;
import org.orchidmount.cluster.ClusterMessage.QuotaReturn;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.cluster.ClusterMessage.RegistrationsAck;
import org.orchidmount.cluster.ClusterMessage.Replication;
import org.orchidmount.cluster.ClusterMessage.RetryDemand;
import org.orchidmount.cluster.ClusterMessage.RetryReply;
import org.orchidmount.cluster.ClusterMessage.RetryRequestMessage;
import org.orchidmount.cluster.ClusterMessage.StreamRecords;
import org.orchidmount.cluster.ClusterMessage.StreamReply;
import org.orchidmount.cluster.ClusterMessage.StreamRequest;
import org.orchidmount.cluster.ClusterMessage.TableDocument;
import org.orchidmount.cluster.ClusterMessage.TableNotice;
import org.orchidmount.cluster.ClusterMessage.TableRequest;
import org.orchidmount.cluster.ClusterMessage.TunnelOffers;
import org.orchidmount.cluster.ClusterMessage.UpstreamLimitRecords;
import org.orchidmount.cluster.ClusterMessage.Voters;
import org.orchidmount.cluster.ClusterMessage.WaitingRequestsMessage;
import org.orchidmount.consensus.DurableState;
import org.orchidmount.consensus.EntryId;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.ReplicaMessage;
import org.orchidmount.consensus.ReplicaMessage.Announce;
import org.orchidmount.consensus.ReplicaMessage.Append;
import org.orchidmount.consensus.ReplicaMessage.AppendReply;
import org.orchidmount.consensus.ReplicaMessage.VoteReply;
import org.orchidmount.consensus.ReplicaMessage.VoteRequest;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.stream.StreamKey;

/**
 * Encodes and decodes cluster messages and the durable state as MessagePack: a type number,
 * followed by the fields in order. The most frequent types are tested first. Stateless and
 * thread-safe.
 */
final class ClusterCodec {
    /**
     * Largest number of elements of a list in a frame; the target deployment has some 8,000
     * upstreams.
     */
    private static final int MAX_LIST_ELEMENTS = 100_000;

    /** Largest route table document after decompression. */
    private static final int MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;

    private static final int BUFFER_BYTES = 16 * 1024;

    /** Type numbers of frames, part of the protocol. */
    private static final int GREETING = 1;

    private static final int KEEP_ALIVE = 2;
    private static final int VOTERS = 3;
    private static final int TABLE_NOTICE = 4;
    private static final int TABLE_REQUEST = 5;
    private static final int TABLE_DOCUMENT = 6;
    private static final int REGISTRATIONS = 7;
    private static final int REGISTRATIONS_ACK = 8;
    private static final int IN_FLIGHT_SEQUENCES = 9;
    private static final int QUOTA_REQUEST = 10;
    private static final int QUOTA_REPLY = 11;
    private static final int QUOTA_RETURN = 12;
    private static final int CRASH_RECORDS = 13;
    private static final int UPSTREAM_LIMITS = 14;
    private static final int EVIDENCE_REPORT = 15;
    private static final int EVIDENCE_DIGEST = 16;
    private static final int WAITING_REQUESTS = 17;
    private static final int TUNNEL_OFFERS = 18;
    private static final int PATH_REPORT = 19;

    /** Type numbers of consensus frames, part of the protocol. */
    private static final int VOTE_REQUEST = 20;

    private static final int VOTE_REPLY = 21;
    private static final int APPEND = 22;
    private static final int APPEND_REPLY = 23;
    private static final int HELLO = 24;

    /** Type numbers of frames of stream origins, part of the protocol. */
    private static final int STREAM_RECORDS = 25;

    private static final int STREAM_REQUEST = 26;
    private static final int STREAM_REPLY = 27;

    /** Type numbers of frames of retries, part of the protocol. */
    private static final int RETRY_REQUEST = 28;

    private static final int RETRY_REPLY = 29;
    private static final int RETRY_DEMAND = 30;

    private ClusterCodec() {}

    static byte[] encode(ClusterMessage message) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            write(out, message);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode cluster message", e);
        }
    }

    static ClusterMessage decode(byte[] frame) throws IOException {
        return decode(frame, refusal -> {});
    }

    /**
     * Decodes a message. Unusable elements of a list are skipped.
     *
     * @param frame the encoded message
     * @param rejections receives a description of each skipped element
     * @throws IOException if the frame cannot be decoded
     */
    static ClusterMessage decode(byte[] frame, Consumer<String> rejections) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
            return read(in, rejections);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed frame: " + e.getMessage(), e);
        }
    }

    private static void write(MessageBufferPacker out, ClusterMessage message) throws IOException {
        if (message instanceof InFlightSequences all) {
            writeSequences(out, all.sequences());
        } else if (message instanceof Replication replication) {
            writeReplication(out, replication);
        } else if (message instanceof QuotaRequestMessage request) {
            writeQuotaRequest(out, request);
        } else if (message instanceof QuotaReply reply) {
            out.packInt(QUOTA_REPLY).packLong(reply.number());
            out.packInt(reply.answer().outcome().ordinal());
            out.packLong(reply.answer().retryAfter().toNanos()).packString(reply.owner());
        } else if (message instanceof StreamRecords records) {
            out.packInt(STREAM_RECORDS);
            StreamRecordCodec.writeList(out, records.streams());
        } else if (message instanceof StreamRequest request) {
            out.packInt(STREAM_REQUEST).packLong(request.number());
            out.packLong(request.key().digest());
        } else if (message instanceof StreamReply reply) {
            out.packInt(STREAM_REPLY).packLong(reply.number());
            StreamRecordCodec.writeOptional(out, reply.stream());
        } else if (message instanceof WaitingRequestsMessage waiting) {
            out.packInt(WAITING_REQUESTS);
            SharedStateCodec.writeWaiting(out, waiting.requests());
        } else if (message instanceof EvidenceDigestMessage evidence) {
            out.packInt(EVIDENCE_DIGEST);
            SharedStateCodec.writeDigest(out, evidence.digest());
        } else if (message instanceof EvidenceReportMessage evidence) {
            out.packInt(EVIDENCE_REPORT);
            SharedStateCodec.writeReport(out, evidence.report());
        } else if (message instanceof Registrations registrations) {
            out.packInt(REGISTRATIONS).packLong(registrations.number());
            RegistrationCodec.writeList(out, registrations.registrations());
        } else if (message instanceof RegistrationsAck held) {
            out.packInt(REGISTRATIONS_ACK).packLong(held.number());
        } else if (message instanceof RetryRequestMessage request) {
            out.packInt(RETRY_REQUEST);
            RetryCodec.write(out, request);
        } else if (message instanceof RetryReply reply) {
            out.packInt(RETRY_REPLY);
            RetryCodec.write(out, reply);
        } else if (message instanceof RetryDemand demand) {
            out.packInt(RETRY_DEMAND);
            RetryCodec.write(out, demand);
        } else if (message instanceof QuotaReturn units) {
            out.packInt(QUOTA_RETURN).packString(units.key()).packLong(units.units());
        } else if (message instanceof CrashRecords crashes) {
            out.packInt(CRASH_RECORDS);
            CrashRecordCodec.write(out, crashes.records());
        } else if (message instanceof UpstreamLimitRecords records) {
            out.packInt(UPSTREAM_LIMITS);
            UpstreamLimitCodec.write(out, records.limits());
        } else if (message instanceof TunnelOffers tunnels) {
            out.packInt(TUNNEL_OFFERS);
            TunnelPeerCodec.writeList(out, tunnels.peers());
        } else if (message instanceof PathReport report) {
            out.packInt(PATH_REPORT).packInt(report.path().ordinal());
        } else if (message instanceof KeepAlive) {
            out.packInt(KEEP_ALIVE);
        } else if (message instanceof TableNotice notice) {
            out.packInt(TABLE_NOTICE).packLong(notice.version());
            out.packBoolean(notice.hasQuorum()).packInt(notice.entries());
        } else if (message instanceof TableRequest) {
            out.packInt(TABLE_REQUEST);
        } else if (message instanceof TableDocument table) {
            out.packInt(TABLE_DOCUMENT).packLong(table.version());
            writeDocument(out, table.document());
        } else if (message instanceof Voters voters) {
            out.packInt(VOTERS);
            writeMembers(out, voters.members());
        } else if (message instanceof Greeting greeting) {
            writeGreeting(out, greeting);
        } else {
            throw new IllegalStateException("no frame type for " + message.getClass());
        }
    }

    private static void writeGreeting(MessageBufferPacker out, Greeting greeting)
            throws IOException {
        out.packInt(GREETING).packInt(greeting.protocol()).packString(greeting.node());
        out.packBoolean(greeting.voter() != null);
        if (greeting.voter() != null) {
            writeMember(out, greeting.voter());
        }
        out.packString(greeting.zone());
        if (!greeting.capabilities().isEmpty()) {
            out.packInt(Capability.toBits(greeting.capabilities()));
            TunnelPeerCodec.writeOptional(out, greeting.tunnels());
        }
    }

    private static void writeQuotaRequest(MessageBufferPacker out, QuotaRequestMessage message)
            throws IOException {
        QuotaRequest request = message.request();
        out.packInt(QUOTA_REQUEST).packLong(message.number()).packString(request.key());
        out.packDouble(request.limit().ratePerSecond()).packDouble(request.limit().burst());
        out.packDouble(request.limit().tolerance()).packLong(request.limit().window().toNanos());
        out.packLong(request.version())
                .packLong(request.units())
                .packBoolean(message.isOwnerSilent());
    }

    private static QuotaRequestMessage readQuotaRequest(MessageUnpacker in) throws IOException {
        long number = in.unpackLong();
        String key = in.unpackString();
        QuotaLimit limit =
                new QuotaLimit(
                        in.unpackDouble(),
                        in.unpackDouble(),
                        in.unpackDouble(),
                        Duration.ofNanos(in.unpackLong()));
        QuotaRequest request = new QuotaRequest(key, limit, in.unpackLong(), in.unpackLong());
        return new QuotaRequestMessage(number, request, in.unpackBoolean());
    }

    private static QuotaReply readQuotaReply(MessageUnpacker in) throws IOException {
        long number = in.unpackLong();
        QuotaAnswer.Outcome outcome = constant(QuotaAnswer.Outcome.values(), in.unpackInt());
        Duration retryAfter = Duration.ofNanos(readCount(in));
        return new QuotaReply(number, new QuotaAnswer(outcome, retryAfter), in.unpackString());
    }

    private static void writeReplication(MessageBufferPacker out, Replication replication)
            throws IOException {
        ReplicaMessage message = replication.message();
        if (message instanceof Append append) {
            writeHead(out, APPEND, replication);
            writeAppend(out, append);
        } else if (message instanceof AppendReply reply) {
            writeHead(out, APPEND_REPLY, replication);
            writeEntry(out, reply.durable());
            out.packLong(reply.round());
        } else if (message instanceof VoteRequest request) {
            writeHead(out, VOTE_REQUEST, replication);
            writeEntry(out, request.newest());
            out.packBoolean(request.preVote());
        } else if (message instanceof VoteReply reply) {
            writeHead(out, VOTE_REPLY, replication);
            out.packBoolean(reply.granted()).packBoolean(reply.preVote());
        } else if (message instanceof Announce announce) {
            writeHead(out, HELLO, replication);
            writeEntry(out, announce.durable());
        } else {
            throw new IllegalStateException("no frame type for " + message.getClass());
        }
    }

    private static void writeHead(MessageBufferPacker out, int type, Replication replication)
            throws IOException {
        out.packInt(type);
        writeMember(out, replication.sender());
        out.packLong(replication.message().term());
    }

    private static void writeAppend(MessageBufferPacker out, Append append) throws IOException {
        writeEntry(out, append.entry());
        writeEntry(out, append.committed());
        out.packLong(append.round());
        out.packBoolean(append.state() != null);
        if (append.state() != null) {
            writeState(out, append.state());
        }
    }

    private static ClusterMessage read(MessageUnpacker in, Consumer<String> rejections)
            throws IOException {
        int type = in.unpackInt();
        return switch (type) {
            case GREETING -> readGreeting(in);
            case KEEP_ALIVE -> new KeepAlive();
            case VOTERS ->
                    new Voters(usable(readMembers(in), PeerRecordValidator::isUsable, rejections));
            case TABLE_NOTICE ->
                    new TableNotice(in.unpackLong(), in.unpackBoolean(), in.unpackInt());
            case TABLE_REQUEST -> new TableRequest();
            case TABLE_DOCUMENT -> new TableDocument(in.unpackLong(), readDocument(in));
            case REGISTRATIONS ->
                    new Registrations(
                            in.unpackLong(),
                            usable(
                                    RegistrationCodec.readList(in),
                                    RegistrationCodec::isUsable,
                                    rejections));
            case REGISTRATIONS_ACK -> new RegistrationsAck(in.unpackLong());
            case CRASH_RECORDS -> new CrashRecords(CrashRecordCodec.read(in));
            case UPSTREAM_LIMITS -> new UpstreamLimitRecords(UpstreamLimitCodec.read(in));
            case EVIDENCE_REPORT ->
                    new EvidenceReportMessage(SharedStateCodec.readReport(in, rejections));
            case EVIDENCE_DIGEST ->
                    new EvidenceDigestMessage(SharedStateCodec.readDigest(in, rejections));
            case WAITING_REQUESTS ->
                    new WaitingRequestsMessage(SharedStateCodec.readWaiting(in, rejections));
            case TUNNEL_OFFERS -> new TunnelOffers(TunnelPeerCodec.readList(in, rejections));
            case PATH_REPORT -> new PathReport(constant(ConnectionPath.values(), in.unpackInt()));
            case STREAM_RECORDS -> new StreamRecords(StreamRecordCodec.readList(in));
            case STREAM_REQUEST ->
                    new StreamRequest(in.unpackLong(), new StreamKey(in.unpackLong()));
            case STREAM_REPLY ->
                    new StreamReply(in.unpackLong(), StreamRecordCodec.readOptional(in));
            case RETRY_REQUEST -> RetryCodec.readRequest(in);
            case RETRY_REPLY -> RetryCodec.readReply(in);
            case RETRY_DEMAND -> RetryCodec.readDemand(in);
            case QUOTA_REQUEST -> readQuotaRequest(in);
            case QUOTA_REPLY -> readQuotaReply(in);
            case QUOTA_RETURN -> new QuotaReturn(in.unpackString(), readCount(in));
            case IN_FLIGHT_SEQUENCES -> {
                List<InFlightSequence> sequences = new ArrayList<>();
                for (int left = readSize(in); left > 0; left--) {
                    sequences.add(readSequence(in));
                }
                List<OptionalLong> starts = RegistrationCodec.readStarts(in, sequences.size());
                for (int i = 0; i < starts.size(); i++) {
                    InFlightSequence read = sequences.get(i);
                    sequences.set(
                            i,
                            read.withIncarnation(
                                    RegistrationCodec.incarnation(
                                            read.upstreamId(), starts.get(i))));
                }
                yield new InFlightSequences(
                        usable(sequences, PeerRecordValidator::isUsable, rejections));
            }
            default -> readReplication(in, type);
        };
    }

    private static <T> List<T> usable(
            List<T> entries, Predicate<T> isUsable, Consumer<String> rejections) {
        List<T> usable = new ArrayList<>(entries.size());
        for (T entry : entries) {
            if (isUsable.test(entry)) {
                usable.add(entry);
            } else {
                rejections.accept("skipped unusable list element: " + entry);
            }
        }
        return usable;
    }

    /**
     * Reads a greeting. Fields added by later builds come last and are optional, so that greetings
     * of earlier builds remain valid.
     */
    private static Greeting readGreeting(MessageUnpacker in) throws IOException {
        int protocol = in.unpackInt();
        String node = in.unpackString();
        Member voter =
                in.unpackBoolean() ? PeerRecordValidator.requireUsable(readMember(in)) : null;
        String zone = in.hasNext() ? in.unpackString() : "";
        int capabilities = in.hasNext() ? in.unpackInt() : 0;
        return new Greeting(
                protocol,
                node,
                zone,
                voter,
                Capability.fromBits(capabilities),
                TunnelPeerCodec.readOptional(in));
    }

    private static Replication readReplication(MessageUnpacker in, int type) throws IOException {
        Member sender = PeerRecordValidator.requireUsable(readMember(in));
        long term = in.unpackLong();
        ReplicaMessage message =
                switch (type) {
                    case VOTE_REQUEST ->
                            new VoteRequest(term, sender.id(), readEntry(in), in.unpackBoolean());
                    case VOTE_REPLY ->
                            new VoteReply(
                                    term, sender.id(), in.unpackBoolean(), in.unpackBoolean());
                    case APPEND -> {
                        EntryId entry = readEntry(in);
                        EntryId committed = readEntry(in);
                        long round = in.unpackLong();
                        GroupState state = in.unpackBoolean() ? readState(in) : null;
                        yield new Append(term, sender, entry, state, committed, round);
                    }
                    case APPEND_REPLY ->
                            new AppendReply(term, sender.id(), readEntry(in), in.unpackLong());
                    case HELLO -> new Announce(term, sender, readEntry(in));
                    default -> throw new IOException("unknown frame type " + type);
                };
        return new Replication(sender, message);
    }

    static byte[] encodeState(DurableState state) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packString(state.self()).packLong(state.term()).packString(state.votedFor());
            writeEntry(out, state.entry());
            writeState(out, state.state());
            return out.toByteArray();
        }
    }

    static DurableState decodeState(byte[] body) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            return new DurableState(
                    in.unpackString(),
                    in.unpackLong(),
                    in.unpackString(),
                    readEntry(in),
                    readState(in));
        } catch (MessagePackException e) {
            throw new IOException("malformed durable state: " + e.getMessage(), e);
        }
    }

    private static void writeState(MessageBufferPacker out, GroupState state) throws IOException {
        writeMembers(out, state.members());
        out.packLong(state.tableVersion());
        writeDocument(out, state.tableDocument());
    }

    private static GroupState readState(MessageUnpacker in) throws IOException {
        return new GroupState(readMembers(in), in.unpackLong(), readDocument(in));
    }

    private static void writeMembers(MessageBufferPacker out, List<Member> members)
            throws IOException {
        out.packArrayHeader(members.size());
        for (Member member : members) {
            writeMember(out, member);
        }
    }

    private static List<Member> readMembers(MessageUnpacker in) throws IOException {
        List<Member> members = new ArrayList<>();
        for (int left = readSize(in); left > 0; left--) {
            members.add(readMember(in));
        }
        return members;
    }

    private static void writeMember(MessageBufferPacker out, Member member) throws IOException {
        out.packString(member.id()).packString(member.address());
        out.packString(member.controlAddress());
    }

    private static Member readMember(MessageUnpacker in) throws IOException {
        return new Member(in.unpackString(), in.unpackString(), in.unpackString());
    }

    private static void writeEntry(MessageBufferPacker out, EntryId entry) throws IOException {
        out.packLong(entry.term()).packLong(entry.index());
    }

    private static EntryId readEntry(MessageUnpacker in) throws IOException {
        return new EntryId(in.unpackLong(), in.unpackLong());
    }

    private static void writeSequences(MessageBufferPacker out, List<InFlightSequence> sequences)
            throws IOException {
        out.packInt(IN_FLIGHT_SEQUENCES).packArrayHeader(sequences.size());
        for (InFlightSequence sequence : sequences) {
            out.packString(sequence.upstreamId()).packString(sequence.id());
            out.packInt(sequence.promptTokens()).packInt(sequence.expectedTokens());
            out.packInt(sequence.maxOutputTokens()).packInt(sequence.generatedTokens());
            out.packBoolean(sequence.ended());
        }
        RegistrationCodec.writeStarts(
                out, sequences.stream().map(InFlightSequence::engine).toList(), false);
    }

    private static InFlightSequence readSequence(MessageUnpacker in) throws IOException {
        return new InFlightSequence(
                Incarnation.ofUnknownStart(in.unpackString()),
                in.unpackString(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackBoolean());
    }

    static <T> T constantOrNull(T[] values, int ordinal) {
        return ordinal >= 0 && ordinal < values.length ? values[ordinal] : null;
    }

    private static <T> T constant(T[] values, int ordinal) throws IOException {
        T constant = constantOrNull(values, ordinal);
        if (constant == null) {
            throw new IOException("malformed frame: unknown enum ordinal " + ordinal);
        }
        return constant;
    }

    private static long readCount(MessageUnpacker in) throws IOException {
        long count = in.unpackLong();
        if (count < 0) {
            throw new IOException("malformed frame: negative count " + count);
        }
        return count;
    }

    static int readSize(MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        if (size > MAX_LIST_ELEMENTS) {
            throw new IOException("malformed frame: too many list elements: " + size);
        }
        return size;
    }

    /**
     * Writes a compressed document: documents are text, and traffic between availability zones is
     * expensive.
     */
    private static void writeDocument(MessageBufferPacker out, byte[] document) throws IOException {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(document);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            out.packBinaryHeader(compressed.size()).writePayload(compressed.toByteArray());
        } finally {
            deflater.end();
        }
    }

    private static byte[] readDocument(MessageUnpacker in) throws IOException {
        byte[] compressed = in.readPayload(in.unpackBinaryHeader());
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream document = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean isTruncated = count == 0 && !inflater.finished();
                if (isTruncated || document.size() + count > MAX_DOCUMENT_BYTES) {
                    throw new IOException("malformed frame: table document truncated or too large");
                }
                document.write(buffer, 0, count);
            }
            return document.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("malformed frame: table document cannot be decompressed", e);
        } finally {
            inflater.end();
        }
    }
}
