/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.file;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.orchidmount.internal.log.PartLog;

/**
 * An append-only file of JSON records, one checksummed line each.
 *
 * <p>Invariants: a record is synced to the disk before {@link #append} returns; a record that could
 * not be written whole is taken back; a last line that a crash has torn is cut off when the file is
 * opened, and any other damage is refused with file and offset named. Not thread-safe: the owner
 * holds its lock.
 */
public final class RecordLog implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("file");

    /** Hexadecimal digits of a checksum of 32 bits. */
    private static final int CRC_DIGITS = 8;

    /** Characters between checksum and record. */
    private static final int SEPARATOR_LENGTH = 1;

    private final Path mPath;
    private final FileChannel mFile;

    private RecordLog(Path path, FileChannel file) {
        mPath = path;
        mFile = file;
    }

    /**
     * Opens the file, replays its records and cuts a torn last line.
     *
     * @param path the file; made if missing, with its folder
     * @param reader is given each record in order
     * @return the open log
     * @throws IOException if the file cannot be read or is damaged
     */
    public static RecordLog open(Path path, RecordReader reader) throws IOException {
        Path folder = path.toAbsolutePath().getParent();
        Files.createDirectories(folder);
        FileChannel file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        try {
            syncFolder(folder);
            RecordLog log = new RecordLog(path, file);
            log.recover(reader);
            return log;
        } catch (IOException e) {
            file.close();
            throw e;
        }
    }

    /**
     * Appends a record and syncs it.
     *
     * @param json the record, compact JSON without line breaks
     * @throws IOException if it could not be written; then the file is as before
     */
    public void append(byte[] json) throws IOException {
        byte[] line = line(json);
        long before = mFile.size();
        try {
            ByteBuffer buffer = ByteBuffer.wrap(line);
            long position = before;
            while (buffer.hasRemaining()) {
                position += mFile.write(buffer, position);
            }
            mFile.force(false);
        } catch (IOException e) {
            mFile.truncate(before);
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        mFile.close();
    }

    private void recover(RecordReader reader) throws IOException {
        byte[] content = Files.readAllBytes(mPath);
        int start = 0;
        while (start < content.length) {
            int end = indexOfNewline(content, start);
            if (end < 0) {
                LOG.warn("cut %d bytes of a torn line from %s", content.length - start, mPath);
                mFile.truncate(start);
                mFile.force(true);
                return;
            }
            reader.read(checked(content, start, end), place(start));
            start = end + 1;
        }
    }

    private byte[] checked(byte[] content, int start, int end) throws IOException {
        int bodyStart = start + CRC_DIGITS + SEPARATOR_LENGTH;
        if (bodyStart > end) {
            throw new IOException(place(start) + " is damaged: the line is too short");
        }
        byte[] body = Arrays.copyOfRange(content, bodyStart, end);
        String stored = new String(content, start, CRC_DIGITS, StandardCharsets.US_ASCII);
        if (!stored.equals(crc(body))) {
            throw new IOException(place(start) + " is damaged: the checksum differs");
        }
        return body;
    }

    private String place(int offset) {
        return mPath + " at byte " + offset;
    }

    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static byte[] line(byte[] json) {
        String text = crc(json) + " " + new String(json, StandardCharsets.UTF_8) + "\n";
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static int indexOfNewline(byte[] content, int start) {
        for (int i = start; i < content.length; i++) {
            if (content[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private static String crc(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return String.format("%08x", crc.getValue());
    }

    /** Takes the records of a log that is being opened. */
    @FunctionalInterface
    public interface RecordReader {
        /**
         * Takes one record.
         *
         * @param json the record
         * @param place file and offset, for errors
         * @throws IOException if the record makes no sense
         */
        void read(byte[] json, String place) throws IOException;
    }
}
