/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.quarantine.CrashRecord;

/**
 * File of records that a voter keeps beside its durable state and independently of it: builds that
 * do not know a kind of record leave its files untouched. Confined to one thread.
 *
 * @param <T> the type of the records
 */
final class RecordFile<T> {
    private static final PartLog LOG = PartLog.of("disk");

    private final String mName;
    private final Codec<T> mCodec;
    private final TwoSlotFile mFile;

    /** Encodes and decodes records. */
    interface Codec<T> {
        /** Encodes a list of records. */
        byte[] encode(List<T> records) throws IOException;

        /**
         * Decodes a list of records.
         *
         * @throws IOException if a record is malformed
         */
        List<T> decode(byte[] body) throws IOException;
    }

    private RecordFile(Path folder, String name, Codec<T> codec) throws IOException {
        mName = name;
        mCodec = codec;
        mFile = TwoSlotFile.open(folder, name);
    }

    /** Opens the crash records in a folder, which is created if missing. */
    static RecordFile<CrashRecord> crashes(Path folder) throws IOException {
        return new RecordFile<>(folder, "crashes", new CrashRecordCodec());
    }

    /** Opens the upstream limits in a folder, which is created if missing. */
    static RecordFile<UpstreamLimit> limits(Path folder) throws IOException {
        return new RecordFile<>(folder, "limits", new UpstreamLimitCodec());
    }

    /**
     * Reads the records last written; returns none if the file cannot be read, so that a voter
     * starts regardless: the other instances send it their records.
     */
    List<T> read() {
        try {
            byte[] body = mFile.read().orElse(null);
            return body == null ? List.of() : mCodec.decode(body);
        } catch (IOException e) {
            LOG.warn("cannot read the %s file, starting without its records: %s", mName, e);
            return List.of();
        }
    }

    /** Writes records; returns once they are synced. */
    void write(List<T> records) throws IOException {
        mFile.write(mCodec.encode(records));
    }
}
