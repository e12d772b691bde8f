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
import org.orchidmount.internal.log.PartLog;

/**
 * A durable value kept in two files that are written alternately.
 *
 * <p>Invariant: the file that holds the newest synced value is never overwritten, so a write torn
 * by a power failure leaves that value intact. Confined to one thread.
 */
final class TwoSlotFile {
    private static final PartLog LOG = PartLog.of("disk");

    /** The letters "orch" in ASCII. */
    private static final int MAGIC = 0x6f726368;

    /** Version of the file format. */
    private static final int FORMAT = 1;

    /** Size of the header: magic, format version, generation, checksum and body length. */
    private static final int HEAD_BYTES = 4 + 4 + 8 + 8 + 4;

    private static final int SLOTS = 2;

    private final Path mFolder;
    private final String mName;
    private long mGeneration;
    private int mNextSlot;

    /** A value read from one of the two files. */
    private record Slot(long generation, byte[] body) {}

    private TwoSlotFile(Path folder, String name) {
        mFolder = folder;
        mName = name;
    }

    /**
     * Opens the files in a folder, which is created if missing.
     *
     * @param folder the folder
     * @param name the prefix of the file names
     * @return the files
     * @throws IOException if the folder cannot be created
     */
    static TwoSlotFile open(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        return new TwoSlotFile(folder, name);
    }

    private Path path(int slot) {
        return mFolder.resolve(mName + (slot == 0 ? "-a.state" : "-b.state"));
    }

    /**
     * Reads the newest intact value.
     *
     * @return the value, or empty if neither file holds an intact one
     * @throws IOException if a file cannot be read
     */
    Optional<byte[]> read() throws IOException {
        Slot newest = null;
        for (int slot = 0; slot < SLOTS; slot++) {
            Slot read = readSlot(path(slot));
            if (read != null && (newest == null || read.generation() > newest.generation())) {
                newest = read;
                mNextSlot = (slot + 1) % SLOTS;
            }
        }
        if (newest == null) {
            return Optional.empty();
        }
        mGeneration = newest.generation();
        return Optional.of(newest.body());
    }

    private static Slot readSlot(Path file) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        if (bytes.remaining() < HEAD_BYTES || bytes.getInt() != MAGIC || bytes.getInt() != FORMAT) {
            LOG.warn("%s ignored: no state file of a known format", file);
            return null;
        }
        long generation = bytes.getLong();
        long checksum = bytes.getLong();
        int length = bytes.getInt();
        if (length < 0 || length > bytes.remaining()) {
            LOG.warn("%s ignored: truncated at offset %d", file, bytes.limit());
            return null;
        }
        byte[] body = new byte[length];
        bytes.get(body);
        if (checksum(generation, body) != checksum) {
            LOG.warn(
                    "%s ignored: checksum mismatch between offsets %d and %d",
                    file, HEAD_BYTES, bytes.position());
            return null;
        }
        return new Slot(generation, body);
    }

    /**
     * Writes a value; returns once it is synced.
     *
     * @throws IOException if it could not be written; the previous value stays intact
     */
    void write(byte[] body) throws IOException {
        long generation = mGeneration + 1;
        ByteBuffer bytes = ByteBuffer.allocate(HEAD_BYTES + body.length);
        bytes.putInt(MAGIC).putInt(FORMAT).putLong(generation);
        bytes.putLong(checksum(generation, body)).putInt(body.length).put(body).flip();
        Path file = path(mNextSlot);
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
        mNextSlot = (mNextSlot + 1) % SLOTS;
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
