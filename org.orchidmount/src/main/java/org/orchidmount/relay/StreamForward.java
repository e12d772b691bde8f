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
 * The stream sent to a caller, from one upstream or from several in succession.
 *
 * <p>Invariants: only complete events are forwarded, each id once and in increasing order; the head
 * is that of the upstream whose event is forwarded first, because an upstream that failed before
 * its first event is not continued but replaced. Confined to one thread.
 */
final class StreamForward {
    private final CallerResponse mCaller;
    private int mStatus;
    private HeaderMap mHeaders;
    private EventFramer mFramer = new EventFramer();
    private Runnable mBeforeFirstEvent = () -> {};
    private boolean mStarted;
    private long mLastEventId;

    StreamForward(CallerResponse caller) {
        mCaller = caller;
    }

    /**
     * Begins the stream of an upstream; an incomplete event of the previous one is discarded.
     *
     * @param status the HTTP status
     * @param headers the header fields to forward, if no head has been sent yet
     * @param beforeFirstEvent called before the first event of all is forwarded, if that is one of
     *     this upstream
     */
    void beginUpstream(int status, HeaderMap headers, Runnable beforeFirstEvent) {
        mFramer = new EventFramer();
        if (!mStarted) {
            mStatus = status;
            mHeaders = headers;
            mBeforeFirstEvent = beforeFirstEvent;
        }
    }

    /** Forwards the events that a part completes. */
    void part(byte[] part) throws IOException, TimeoutException, InterruptedException {
        for (EventFramer.Event event : mFramer.feed(part)) {
            if (event.hasId() && event.id() <= mLastEventId) {
                continue;
            }
            mLastEventId = Math.max(mLastEventId, event.id());
            if (!mStarted) {
                mBeforeFirstEvent.run();
            }
            start();
            mCaller.sendPart(event.bytes());
        }
    }

    /** Returns whether the event that is being received exceeds the size limit. */
    boolean isOversized() {
        return mFramer.isOversized();
    }

    private void start() {
        if (!mStarted) {
            mStarted = true;
            mCaller.beginStream(mStatus, mHeaders);
        }
    }

    void end() throws IOException, TimeoutException, InterruptedException {
        start();
        mCaller.endStream();
    }

    boolean isStarted() {
        return mStarted;
    }

    boolean isAtEventBoundary() {
        return mFramer.isAtEventBoundary();
    }

    /** Returns the id of the last event forwarded; 0 for none. */
    long lastEventId() {
        return mLastEventId;
    }
}
