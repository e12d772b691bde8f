/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads from a socket and fails at the limit on what it reads. Confined to the I/O thread of the
 * connection.
 */
final class LimitedSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final ReceiveLimit mLimit;

    private LimitedSourceConduit(StreamSourceConduit next, ReceiveLimit limit) {
        super(next);
        mLimit = limit;
    }

    /** Limits what is read from a connection on which nothing has been read. */
    static void install(StreamConnection connection, ReceiveLimit limit) {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.setConduit(new LimitedSourceConduit(source.getConduit(), limit));
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int count = super.read(target);
        mLimit.received(count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        long count = super.read(targets, offset, length);
        mLimit.received(count);
        return count;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        long moved = super.transferTo(position, count, target);
        mLimit.received(moved);
        return moved;
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
            throws IOException {
        long moved = super.transferTo(count, through, target);
        mLimit.received(moved);
        return moved;
    }
}
