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
 * that of the upstream whose event is passed on first, since an upstream that broke off before is
 * not continued but replaced. Used by one thread.
 */
final class StreamForward {
    private final CallerResponse mAnswer;
    private int mStatus;
    private HeaderMap mHeaders;
    private EventFramer mFramer = new EventFramer();
    private boolean mStarted;
    private long mLast;

    StreamForward(CallerResponse answer) {
        mAnswer = answer;
    }

    /**
     * An upstream begins; what another left unfinished is forgotten.
     *
     * @param status its status
     * @param headers the fields that are passed on, if the caller has no head yet
     */
    void upstreamBegins(int status, HeaderMap headers) {
        mFramer = new EventFramer();
        if (!mStarted) {
            mStatus = status;
            mHeaders = headers;
        }
    }

    /** Passes on the events that a part completes. */
    void part(byte[] part) throws IOException, TimeoutException, InterruptedException {
        for (EventFramer.Event event : mFramer.feed(part)) {
            if (event.isNumbered() && event.id() <= mLast) {
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
