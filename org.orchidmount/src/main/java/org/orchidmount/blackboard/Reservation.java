/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import org.orchidmount.internal.http.Peer;

/**
 * What a placed request holds on a prefill engine, a decode engine and the link between them.
 *
 * <p>Invariant: each part is given back exactly once, at its own end or at the release, whichever
 * comes first. Its state is guarded by the board's lock; change it through {@link Blackboard} only.
 */
public final class Reservation {
    private final Peer mPrefill;
    private final Peer mDecode;
    private final int mUncachedTokens;
    private final long mKvBytes;
    private final long mPromptKvBytes;
    private boolean mPrefillHeld = true;
    private boolean mLinkHeld = true;
    private boolean mDecodeHeld = true;

    Reservation(Peer prefill, Peer decode, int uncachedTokens, long kvBytes, long promptKvBytes) {
        mPrefill = prefill;
        mDecode = decode;
        mUncachedTokens = uncachedTokens;
        mKvBytes = kvBytes;
        mPromptKvBytes = promptKvBytes;
    }

    /**
     * Returns the prefill engine.
     *
     * @return the engine
     */
    public Peer prefill() {
        return mPrefill;
    }

    /**
     * Returns the decode engine.
     *
     * @return the engine
     */
    public Peer decode() {
        return mDecode;
    }

    int uncachedTokens() {
        return mUncachedTokens;
    }

    long kvBytes() {
        return mKvBytes;
    }

    long promptKvBytes() {
        return mPromptKvBytes;
    }

    boolean takePrefill() {
        boolean held = mPrefillHeld;
        mPrefillHeld = false;
        return held;
    }

    boolean takeLink() {
        boolean held = mLinkHeld;
        mLinkHeld = false;
        return held;
    }

    boolean takeDecode() {
        boolean held = mDecodeHeld;
        mDecodeHeld = false;
        return held;
    }
}
