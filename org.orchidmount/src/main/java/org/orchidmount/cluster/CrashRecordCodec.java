/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.RequestFingerprint;

/** Encodes and decodes crash records for frames and files. Stateless and thread-safe. */
final class CrashRecordCodec implements RecordFile.Codec<CrashRecord> {
    static void write(MessageBufferPacker out, List<CrashRecord> records) throws IOException {
        out.packArrayHeader(records.size());
        for (CrashRecord record : records) {
            out.packString(record.fingerprint().hex()).packLong(record.epoch());
            out.packInt(record.crashes()).packInt(record.crashesAtPosition());
            out.packLong(record.position());
        }
    }

    /**
     * Reads crash records.
     *
     * @throws IOException if a record is malformed
     */
    static List<CrashRecord> read(MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        List<CrashRecord> records = new ArrayList<>();
        for (int left = size; left > 0; left--) {
            RequestFingerprint fingerprint = new RequestFingerprint(in.unpackString());
            records.add(
                    new CrashRecord(
                            fingerprint,
                            in.unpackLong(),
                            in.unpackInt(),
                            in.unpackInt(),
                            in.unpackLong()));
        }
        return records;
    }

    @Override
    public byte[] encode(List<CrashRecord> records) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            write(out, records);
            return out.toByteArray();
        }
    }

    @Override
    public List<CrashRecord> decode(byte[] body) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
            return read(in);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed crash records: " + e.getMessage(), e);
        }
    }
}
