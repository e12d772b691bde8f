/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import org.orchidmount.cluster.HostPort;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.upstream.CancelSignal;

/**
 * Work that this instance has given to an upstream. Guarded by the lock of {@link
 * UpstreamDirectory}, except for what never changes.
 */
final class Assignment {
    private final Upstream mUpstream;
    private final double mWorkMillis;
    private final double mOrdinaryMillis;
    private final long mSinceNanos;
    private final Incarnation mIncarnation;
    private final Peer mPeer;
    private boolean mPending = true;

    Assignment(Upstream upstream, double workMillis, double ordinaryMillis, long sinceNanos) {
        mUpstream = upstream;
        mWorkMillis = workMillis;
        mOrdinaryMillis = ordinaryMillis;
        mSinceNanos = sinceNanos;
        mIncarnation = upstream.incarnation();
        HostPort address = HostPort.parse(upstream.registration().address());
        // The start is part of the name, so that connections to another start are never used.
        mPeer = new Peer(mIncarnation.toString(), address.host(), address.port());
    }

    Upstream upstream() {
        return mUpstream;
    }

    /** Returns the identity of the upstream. */
    String id() {
        return mIncarnation.id();
    }

    /** Returns which start of the upstream the work was given to. */
    Incarnation incarnation() {
        return mIncarnation;
    }

    Peer peer() {
        return mPeer;
    }

    /** Returns what is cancelled once the upstream has started again. */
    CancelSignal end() {
        return mUpstream.end();
    }

    /**
     * Tells whether the upstream has started again since. Then this work is lost: what it had
     * reserved or made there is no longer, and its names may be those of others now.
     */
    boolean hasStartedAgain() {
        return end().isCancelled();
    }

    /** Returns after what time an upstream of ordinary speed would have done the work. */
    double ordinaryMillis() {
        return mOrdinaryMillis;
    }

    long sinceNanos() {
        return mSinceNanos;
    }

    /** Ends the work, once. */
    void endWork() {
        if (mPending) {
            mPending = false;
            mUpstream.endWork(mWorkMillis);
        }
    }
}
