/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.upstream;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;

/**
 * Splits an answer into the data fields of server-sent events.
 *
 * <p>An event larger than {@link #MAX_EVENT_BYTES} is refused. Used by one thread.
 */
final class SseReader {
    /** The largest event taken. */
    static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final String DATA = "data:";

    private final HttpCall mCall;
    private final String mPeer;
    private final Duration mTimeout;
    private final Deque<String> mEvents = new ArrayDeque<>();
    private final StringBuilder mData = new StringBuilder();
    private byte[] mLine = new byte[512];
    private int mLineLength;

    SseReader(HttpCall call, String peer, Duration timeout) {
        mCall = call;
        mPeer = peer;
        mTimeout = timeout;
    }

    /** Returns the data of the next event, or null at the end of the answer. */
    String next() throws CallFailedException {
        while (mEvents.isEmpty()) {
            byte[] part = mCall.read(mTimeout);
            if (part == null) {
                return null;
            }
            feed(part);
        }
        return mEvents.pollFirst();
    }

    private void feed(byte[] part) throws CallFailedException {
        for (byte b : part) {
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                append(b);
            }
        }
    }

    private void append(byte b) throws CallFailedException {
        if (mLineLength == mLine.length) {
            if (mLineLength + mData.length() >= MAX_EVENT_BYTES) {
                throw new CallFailedException(
                        new Failure.Garbled(Step.DECODE, mPeer, "an event is too large"));
            }
            mLine = Arrays.copyOf(mLine, mLine.length * 2);
        }
        mLine[mLineLength++] = b;
    }

    private void endLine() {
        String line = new String(mLine, 0, mLineLength, StandardCharsets.UTF_8);
        mLineLength = 0;
        if (line.isEmpty()) {
            if (!mData.isEmpty()) {
                mEvents.addLast(mData.toString());
                mData.setLength(0);
            }
        } else if (line.startsWith(DATA)) {
            mData.append(line.substring(DATA.length()).strip());
        }
    }
}
