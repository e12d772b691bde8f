/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.EvidenceReport;
import org.orchidmount.evidence.UpstreamEvidence;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.evidence.UpstreamObservations;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.waiting.WaitingRequest;

/**
 * Encodes and decodes the frames of shared state: a list of elements, each preceded by its length.
 *
 * <p>A malformed element is skipped without losing those behind it, and fields that a later build
 * adds at the end of an element are ignored. Elements beyond the bound of a frame are neither
 * written nor read. Means and shares have single precision, which suffices for decisions and takes
 * half the bytes. Stateless and thread-safe.
 */
final class SharedStateCodec {
    /** Maximum number of waiting requests in a frame; more are sent in several frames. */
    static final int MAX_WAITING_REQUESTS = 64;

    /**
     * Maximum size of an element: evidence with the maximum number of witnesses, all names having
     * the 100 characters that settings allow, takes about 1 KB.
     */
    private static final int MAX_ELEMENT_BYTES = 2_048;

    /**
     * Bound of the mean logarithm of slowness, which corresponds to a factor of 22,000. A larger
     * value is not a measurement and would dominate the mean of all other entries.
     */
    private static final double MAX_ABS_LOG_SLOWNESS = 10;

    /** Writes the fields of an element. */
    private interface Writer<T> {
        void write(MessageBufferPacker out, T element) throws IOException;
    }

    /** Reads the fields of an element. */
    private interface Reader<T> {
        T read(MessageUnpacker in) throws IOException;
    }

    private SharedStateCodec() {}

    static void writeReport(MessageBufferPacker out, EvidenceReport report) throws IOException {
        writeList(
                out,
                report.observations(),
                EvidenceReport.MAX_UPSTREAMS,
                SharedStateCodec::writeObservations);
    }

    static EvidenceReport readReport(MessageUnpacker in, Consumer<String> rejections)
            throws IOException {
        return new EvidenceReport(
                readList(
                        in,
                        EvidenceReport.MAX_UPSTREAMS,
                        SharedStateCodec::readObservations,
                        SharedStateCodec::isUsable,
                        rejections));
    }

    static void writeDigest(MessageBufferPacker out, EvidenceDigest digest) throws IOException {
        writeList(
                out,
                digest.upstreams(),
                EvidenceDigest.MAX_UPSTREAMS,
                SharedStateCodec::writeEvidence);
    }

    static EvidenceDigest readDigest(MessageUnpacker in, Consumer<String> rejections)
            throws IOException {
        return new EvidenceDigest(
                readList(
                        in,
                        EvidenceDigest.MAX_UPSTREAMS,
                        SharedStateCodec::readEvidence,
                        SharedStateCodec::isUsable,
                        rejections));
    }

    static void writeWaiting(MessageBufferPacker out, List<WaitingRequest> requests)
            throws IOException {
        writeList(out, requests, MAX_WAITING_REQUESTS, SharedStateCodec::writeWaiting);
    }

    static List<WaitingRequest> readWaiting(MessageUnpacker in, Consumer<String> rejections)
            throws IOException {
        return readList(
                in,
                MAX_WAITING_REQUESTS,
                SharedStateCodec::readWaiting,
                SharedStateCodec::isUsable,
                rejections);
    }

    // ---- Lists

    private static <T> void writeList(
            MessageBufferPacker out, List<T> elements, int maxElements, Writer<T> writer)
            throws IOException {
        int size = Math.min(maxElements, elements.size());
        out.packArrayHeader(size);
        try (MessageBufferPacker fields = MessagePack.newDefaultBufferPacker()) {
            for (T element : elements.subList(0, size)) {
                fields.clear();
                writer.write(fields, element);
                byte[] bytes = fields.toByteArray();
                out.packBinaryHeader(bytes.length).writePayload(bytes);
            }
        }
    }

    private static <T> List<T> readList(
            MessageUnpacker in,
            int maxElements,
            Reader<T> reader,
            Predicate<T> isUsable,
            Consumer<String> rejections)
            throws IOException {
        int size = in.unpackArrayHeader();
        List<T> elements = new ArrayList<>();
        for (int read = 0; read < Math.min(maxElements, size); read++) {
            try {
                T element = readElement(in, reader);
                if (isUsable.test(element)) {
                    elements.add(element);
                } else {
                    rejections.accept("skipped unusable list element: " + element);
                }
            } catch (MalformedElementException e) {
                rejections.accept("skipped malformed list element: " + e.getMessage());
            }
        }
        if (size > maxElements) {
            rejections.accept("ignored " + (size - maxElements) + " list elements beyond bound");
        }
        return elements;
    }

    /** An element that cannot be read, behind which the frame can be read on. */
    private static final class MalformedElementException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedElementException(String message) {
            super(message);
        }
    }

    private static <T> T readElement(MessageUnpacker in, Reader<T> reader)
            throws IOException, MalformedElementException {
        ValueType type = in.getNextFormat().getValueType();
        if (type != ValueType.BINARY) {
            in.skipValue();
            throw new MalformedElementException("it is of type " + type);
        }
        int length = in.unpackBinaryHeader();
        if (length > MAX_ELEMENT_BYTES) {
            skip(in, length);
            throw new MalformedElementException("it has " + length + " bytes");
        }
        byte[] bytes = in.readPayload(length);
        try (MessageUnpacker fields = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(fields);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new MalformedElementException(e.getMessage());
        }
    }

    /** Skips bytes without allocating as many, since their number is stated by the peer. */
    private static void skip(MessageUnpacker in, int length) throws IOException {
        byte[] buffer = new byte[MAX_ELEMENT_BYTES];
        for (int left = length; left > 0; left -= Math.min(left, buffer.length)) {
            in.readPayload(buffer, 0, Math.min(left, buffer.length));
        }
    }

    // ---- Elements

    private static void writeObservations(MessageBufferPacker out, UpstreamObservations observed)
            throws IOException {
        writeIncarnation(out, observed.upstream());
        out.packInt(observed.successes()).packInt(observed.failures());
        out.packInt(observed.unreachable()).packFloat((float) observed.logSlownessSum());
        out.packInt(observed.slownessCount());
    }

    private static UpstreamObservations readObservations(MessageUnpacker in) throws IOException {
        return new UpstreamObservations(
                readIncarnation(in),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackDouble(),
                in.unpackInt());
    }

    private static boolean isUsable(UpstreamObservations observed) {
        return !observed.upstream().id().isEmpty()
                && observed.successes() >= 0
                && observed.failures() >= 0
                && observed.unreachable() >= 0
                && observed.slownessCount() >= 0
                && Math.abs(observed.logSlownessSum())
                        <= MAX_ABS_LOG_SLOWNESS * observed.slownessCount();
    }

    private static void writeEvidence(MessageBufferPacker out, UpstreamEvidence evidence)
            throws IOException {
        writeIncarnation(out, evidence.upstream());
        out.packLong(evidence.successAgeMillis()).packFloat((float) evidence.failureShare());
        out.packFloat((float) evidence.meanLogSlowness());
        out.packFloat((float) evidence.slownessWeight());
        List<Witness> witnesses = evidence.witnesses();
        int size = Math.min(UpstreamEvidence.MAX_WITNESSES, witnesses.size());
        out.packArrayHeader(size);
        for (Witness witness : witnesses.subList(0, size)) {
            out.packString(witness.instance()).packString(witness.zone());
            out.packLong(witness.ageMillis());
        }
    }

    private static UpstreamEvidence readEvidence(MessageUnpacker in) throws IOException {
        Incarnation upstream = readIncarnation(in);
        long successAgeMillis = in.unpackLong();
        double failureShare = in.unpackDouble();
        double meanLogSlowness = in.unpackDouble();
        double slownessWeight = in.unpackDouble();
        int size = in.unpackArrayHeader();
        List<Witness> witnesses = new ArrayList<>();
        for (int left = Math.min(UpstreamEvidence.MAX_WITNESSES, size); left > 0; left--) {
            witnesses.add(new Witness(in.unpackString(), in.unpackString(), in.unpackLong()));
        }
        return new UpstreamEvidence(
                upstream,
                witnesses,
                successAgeMillis,
                failureShare,
                meanLogSlowness,
                slownessWeight);
    }

    private static boolean isUsable(UpstreamEvidence evidence) {
        return !evidence.upstream().id().isEmpty()
                && evidence.successAgeMillis() >= UpstreamEvidence.NEVER
                && evidence.failureShare() >= 0
                && evidence.failureShare() <= 1
                && Math.abs(evidence.meanLogSlowness()) <= MAX_ABS_LOG_SLOWNESS
                && evidence.slownessWeight() >= 0
                && evidence.slownessWeight() <= Float.MAX_VALUE
                && evidence.witnesses().stream().allMatch(SharedStateCodec::isUsable);
    }

    private static boolean isUsable(Witness witness) {
        return !witness.instance().isEmpty() && witness.ageMillis() >= 0;
    }

    private static void writeWaiting(MessageBufferPacker out, WaitingRequest request)
            throws IOException {
        out.packString(request.id()).packString(request.service()).packString(request.account());
        out.packInt(request.urgency()).packInt(request.promptTokens());
        out.packInt(request.expectedTokens()).packLong(request.waitedMillis());
        out.packLong(request.remainingMillis()).packBoolean(request.ended());
    }

    private static WaitingRequest readWaiting(MessageUnpacker in) throws IOException {
        return new WaitingRequest(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackBoolean());
    }

    /** Returns whether a request can be ordered; the remaining time may be over. */
    private static boolean isUsable(WaitingRequest request) {
        return !request.id().isEmpty()
                && !request.service().isEmpty()
                && request.urgency() >= 0
                && request.promptTokens() >= 0
                && request.expectedTokens() >= 0
                && request.waitedMillis() >= 0;
    }

    private static void writeIncarnation(MessageBufferPacker out, Incarnation incarnation)
            throws IOException {
        out.packString(incarnation.id());
        if (incarnation.isStartKnown()) {
            out.packLong(incarnation.startMillis().getAsLong());
        } else {
            out.packNil();
        }
    }

    private static Incarnation readIncarnation(MessageUnpacker in) throws IOException {
        String id = in.unpackString();
        return in.tryUnpackNil()
                ? Incarnation.ofUnknownStart(id)
                : Incarnation.startedAt(id, in.unpackLong());
    }
}
