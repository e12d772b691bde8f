/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.orchidmount.consensus.DurableState;
import org.orchidmount.internal.log.PartLog;

/**
 * The durable state of a replica in two files that are written by turns.
 *
 * <p>Invariant: the file that holds the newest synced state is never written to, so a write that is
 * torn by a loss of power leaves that state whole. Confined to one thread.
 */
final class StateFile {
    private static final PartLog LOG = PartLog.of("disk");

    /** The letters "orch". */
    private static final int MAGIC = 0x6f726368;

    /** The version of the form. */
    private static final int FORMAT = 1;

    /** Magic, format, sequence, length and checksum. */
    private static final int HEAD_BYTES = 4 + 4 + 8 + 8 + 4;

    private static final String[] NAMES = {"replica-a.state", "replica-b.state"};

    private final Path mFolder;
    private long mGeneration;
    private int mNextSlot;

    /** A state read from one of the files. */
    private record Slot(long generation, DurableState state) {}

    private StateFile(Path folder) {
        mFolder = folder;
    }

    /** Opens the files of a folder, which is made if it is missing. */
    static StateFile open(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new StateFile(folder);
    }

    /**
     * Reads the newest whole state.
     *
     * @return the state, or nothing if no file holds a whole one
     */
    Optional<DurableState> read() throws IOException {
        Slot newest = null;
        for (int slot = 0; slot < NAMES.length; slot++) {
            Slot read = readSlot(mFolder.resolve(NAMES[slot]));
            if (read != null && (newest == null || read.generation() > newest.generation())) {
                newest = read;
                mNextSlot = (slot + 1) % NAMES.length;
            }
        }
        if (newest == null) {
            return Optional.empty();
        }
        mGeneration = newest.generation();
        return Optional.of(newest.state());
    }

    private static Slot readSlot(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        if (bytes.remaining() < HEAD_BYTES || bytes.getInt() != MAGIC || bytes.getInt() != FORMAT) {
            LOG.warn("%s holds no whole state", file);
            return null;
        }
        long generation = bytes.getLong();
        long checksum = bytes.getLong();
        int length = bytes.getInt();
        if (length < 0 || length > bytes.remaining()) {
            LOG.warn("%s is cut off at offset %d", file, bytes.limit());
            return null;
        }
        byte[] body = new byte[length];
        bytes.get(body);
        if (checksum(generation, body) != checksum) {
            LOG.warn("%s is damaged between offsets %d and %d", file, HEAD_BYTES, bytes.position());
            return null;
        }
        return new Slot(generation, ClusterCodec.decodeState(body));
    }

    /** Writes a state and returns once it is synced. */
    void write(DurableState state) throws IOException {
        byte[] body = ClusterCodec.encodeState(state);
        long generation = mGeneration + 1;
        ByteBuffer bytes = ByteBuffer.allocate(HEAD_BYTES + body.length);
        bytes.putInt(MAGIC).putInt(FORMAT).putLong(generation);
        bytes.putLong(checksum(generation, body)).putInt(body.length).put(body).flip();
        Path file = mFolder.resolve(NAMES[mNextSlot]);
        boolean fresh = !Files.exists(file);
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(fresh);
        }
        if (fresh) {
            syncFolder();
        }
        mGeneration = generation;
        mNextSlot = (mNextSlot + 1) % NAMES.length;
    }

    private void syncFolder() throws IOException {
        try (FileChannel folder = FileChannel.open(mFolder, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    private static long checksum(long generation, byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Long.BYTES).putLong(0, generation));
        checksum.update(body);
        return checksum.getValue();
    }
}
