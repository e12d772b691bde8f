/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.pacing.UpstreamLimit;

/** Encodes and decodes upstream limits for frames and files. Stateless and thread-safe. */
final class UpstreamLimitCodec implements RecordFile.Codec<UpstreamLimit> {
    static void write(MessageBufferPacker out, List<UpstreamLimit> limits) throws IOException {
        out.packArrayHeader(limits.size());
        for (UpstreamLimit limit : limits) {
            out.packString(limit.upstream().id());
            writeStart(out, limit.upstream().startMillis());
            writePerSecond(out, limit.perSecond());
            out.packLong(limit.version()).packString(limit.receiver());
        }
    }

    private static void writeStart(MessageBufferPacker out, OptionalLong startMillis)
            throws IOException {
        if (startMillis.isPresent()) {
            out.packLong(startMillis.getAsLong());
        } else {
            out.packNil();
        }
    }

    private static void writePerSecond(MessageBufferPacker out, OptionalDouble perSecond)
            throws IOException {
        if (perSecond.isPresent()) {
            out.packDouble(perSecond.getAsDouble());
        } else {
            out.packNil();
        }
    }

    /**
     * Reads upstream limits.
     *
     * @throws IOException if a limit is malformed
     */
    static List<UpstreamLimit> read(MessageUnpacker in) throws IOException {
        List<UpstreamLimit> limits = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            String id = in.unpackString();
            Incarnation upstream =
                    in.tryUnpackNil()
                            ? Incarnation.ofUnknownStart(id)
                            : Incarnation.startedAt(id, in.unpackLong());
            OptionalDouble perSecond =
                    in.tryUnpackNil()
                            ? OptionalDouble.empty()
                            : OptionalDouble.of(in.unpackDouble());
            limits.add(new UpstreamLimit(upstream, perSecond, in.unpackLong(), in.unpackString()));
        }
        return limits;
    }

    @Override
    public byte[] encode(List<UpstreamLimit> limits) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            write(out, limits);
            return out.toByteArray();
        }
    }

    @Override
    public List<UpstreamLimit> decode(byte[] body) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            return read(in);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed upstream limits: " + e.getMessage(), e);
        }
    }
}
