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
 * Records of a voter on disk, beside its durable state and independent of it: builds that know no
 * such records leave these files alone. Confined to one thread.
 *
 * @param <T> a record
 */
final class RecordFile<T> {
    private static final PartLog LOG = PartLog.of("disk");

    private final String mName;
    private final Codec<T> mCodec;
    private final TwoSlotFile mFile;

    /** Writes and reads records. */
    interface Codec<T> {
        /** Encodes records. */
        byte[] encode(List<T> records) throws IOException;

        /**
         * Decodes records.
         *
         * @throws IOException if one is not what it must be
         */
        List<T> decode(byte[] body) throws IOException;
    }

    private RecordFile(Path folder, String name, Codec<T> codec) throws IOException {
        mName = name;
        mCodec = codec;
        mFile = TwoSlotFile.open(folder, name);
    }

    /** Opens the crash records of a folder, which is made if it is missing. */
    static RecordFile<CrashRecord> crashes(Path folder) throws IOException {
        return new RecordFile<>(folder, "crashes", new CrashRecordCodec());
    }

    /** Opens the limits of upstreams of a folder, which is made if it is missing. */
    static RecordFile<UpstreamLimit> limits(Path folder) throws IOException {
        return new RecordFile<>(folder, "limits", new UpstreamLimitCodec());
    }

    /**
     * Reads the records that were written last. A voter starts without them rather than not at all:
     * the other instances send it theirs.
     */
    List<T> read() {
        try {
            byte[] body = mFile.read().orElse(null);
            return body == null ? List.of() : mCodec.decode(body);
        } catch (IOException e) {
            LOG.warn("the file of %s cannot be read: %s", mName, e);
            return List.of();
        }
    }

    /** Writes records and returns once they are synced. */
    void write(List<T> records) throws IOException {
        mFile.write(mCodec.encode(records));
    }
}
