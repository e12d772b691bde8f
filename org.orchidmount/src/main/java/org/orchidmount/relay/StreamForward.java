/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.util.concurrent.TimeoutException;

/**
 * The stream that a caller gets, from one upstream or from several in turn.
 *
 * <p>Invariants: only whole events are passed on, each id once and in rising order; the head is
 * that of the first upstream. Used by one thread.
 */
final class StreamForward {
    private final CallerResponse mAnswer;
    private final int mStatus;
    private final HeaderMap mHeaders;
    private EventFramer mFramer = new EventFramer();
    private boolean mStarted;
    private long mLast;

    StreamForward(CallerResponse answer, int status, HeaderMap headers) {
        mAnswer = answer;
        mStatus = status;
        mHeaders = headers;
    }

    /** An upstream begins; what another left unfinished is forgotten. */
    void upstreamBegins() {
        mFramer = new EventFramer();
    }

    /** Passes on the events that a part completes. */
    void part(byte[] part) throws IOException, TimeoutException, InterruptedException {
        for (EventFramer.Event event : mFramer.feed(part)) {
            if (event.id() != 0 && event.id() <= mLast) {
                continue;
            }
            mLast = Math.max(mLast, event.id());
            start();
            mAnswer.part(event.bytes());
        }
        if (mFramer.isOverfull()) {
            throw new IOException("an event is too large");
        }
    }

    private void start() {
        if (!mStarted) {
            mStarted = true;
            mAnswer.begin(mStatus, mHeaders);
        }
    }

    void end() throws IOException, TimeoutException, InterruptedException {
        start();
        mAnswer.end();
    }

    boolean isStarted() {
        return mStarted;
    }

    boolean isBetweenEvents() {
        return mFramer.isBetweenEvents();
    }

    /** Returns the id of the last event passed on, 0 for none. */
    long last() {
        return mLast;
    }
}
