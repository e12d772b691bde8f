/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.orchidmount.stream.StreamKey;
import org.orchidmount.stream.StreamOrigin;
import org.orchidmount.stream.StreamRecord;

/**
 * Encodes and decodes the origins of streams. A frame names each origin once, since many streams
 * share it. Stateless and thread-safe.
 */
final class StreamRecordCodec {
    private static final int MAX_ELEMENTS = 100_000;

    private StreamRecordCodec() {}

    static void writeList(MessagePacker out, List<StreamRecord> streams) throws IOException {
        Map<StreamOrigin, Integer> indexes = new LinkedHashMap<>();
        streams.forEach(stream -> indexes.putIfAbsent(stream.origin(), indexes.size()));
        out.packArrayHeader(indexes.size());
        for (StreamOrigin origin : indexes.keySet()) {
            out.packString(origin.service()).packString(origin.version());
        }
        out.packArrayHeader(streams.size());
        for (StreamRecord stream : streams) {
            out.packLong(stream.key().digest()).packInt(indexes.get(stream.origin()));
            out.packLong(stream.lifetime().toMillis());
        }
    }

    static List<StreamRecord> readList(MessageUnpacker in) throws IOException {
        List<StreamOrigin> origins = new ArrayList<>();
        for (int left = readSize(in); left > 0; left--) {
            origins.add(new StreamOrigin(in.unpackString(), in.unpackString()));
        }
        List<StreamRecord> streams = new ArrayList<>();
        for (int left = readSize(in); left > 0; left--) {
            StreamKey key = new StreamKey(in.unpackLong());
            int index = in.unpackInt();
            if (index < 0 || index >= origins.size()) {
                throw new IOException("malformed frame: no stream origin " + index);
            }
            streams.add(
                    new StreamRecord(key, origins.get(index), Duration.ofMillis(in.unpackLong())));
        }
        return streams;
    }

    static void writeOptional(MessagePacker out, Optional<StreamRecord> stream) throws IOException {
        writeList(out, stream.stream().toList());
    }

    static Optional<StreamRecord> readOptional(MessageUnpacker in) throws IOException {
        return readList(in).stream().findFirst();
    }

    private static int readSize(MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        if (size > MAX_ELEMENTS) {
            throw new IOException("malformed frame: too many list elements: " + size);
        }
        return size;
    }
}
