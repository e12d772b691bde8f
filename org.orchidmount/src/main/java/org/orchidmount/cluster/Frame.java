/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.nio.ByteBuffer;

/**
 * A message in its wire format: a length of four bytes, followed by the encoded message.
 *
 * <p>It is encoded at most once, by the first link that writes it, however many links it is sent
 * on. Thread-safe.
 */
final class Frame {
    private final ClusterMessage mMessage;
    private byte[] mBytes;

    Frame(ClusterMessage message) {
        mMessage = message;
    }

    /** Returns the encoded frame; callers must not modify it. */
    synchronized byte[] bytes() {
        if (mBytes == null) {
            byte[] body = ClusterCodec.encode(mMessage);
            mBytes = new byte[Integer.BYTES + body.length];
            ByteBuffer.wrap(mBytes).putInt(body.length).put(body);
        }
        return mBytes;
    }
}
