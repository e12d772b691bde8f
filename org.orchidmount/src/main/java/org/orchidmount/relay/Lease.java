/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import org.orchidmount.cluster.HostPort;
import org.orchidmount.internal.http.Peer;

/**
 * A place at an upstream, held by one request. Guarded by the lock of {@link UpstreamBook}, except
 * for what never changes.
 */
final class Lease {
    private final Upstream mUpstream;
    private final double mWorkMillis;
    private final double mDoneMillis;
    private final long mSinceNanos;
    private final String mId;
    private final Peer mPeer;
    private boolean mWorking = true;
    private boolean mHeld = true;

    Lease(Upstream upstream, double workMillis, double doneMillis, long sinceNanos) {
        mUpstream = upstream;
        mWorkMillis = workMillis;
        mDoneMillis = doneMillis;
        mSinceNanos = sinceNanos;
        mId = upstream.registration().id();
        HostPort address = HostPort.parse(upstream.registration().address());
        mPeer = new Peer(mId, address.host(), address.port());
    }

    Upstream upstream() {
        return mUpstream;
    }

    String id() {
        return mId;
    }

    Peer peer() {
        return mPeer;
    }

    /** Returns after what time an upstream of ordinary speed would have done the work. */
    double doneMillis() {
        return mDoneMillis;
    }

    long sinceNanos() {
        return mSinceNanos;
    }

    void endWork() {
        if (mWorking) {
            mWorking = false;
            mUpstream.endWork(mWorkMillis);
        }
    }

    void endRequest() {
        if (mHeld) {
            mHeld = false;
            mUpstream.endRequest();
        }
    }
}
