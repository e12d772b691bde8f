/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit.internal;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import org.orchidmount.junit.FakeModel;

/**
 * A request that a fake engine decodes.
 *
 * <p>Invariants: tokens become ready one by one and are kept until the request is dropped, so a
 * stream can be resumed at any offset; a reader that falls behind pauses the request. Guarded by
 * the engine's lock.
 */
final class EngineSequence {
    /** How far generation may run ahead of the reader. */
    static final int MAX_AHEAD = 64;

    private final String mId;
    private final FakeModel.Plan mPlan;
    private final boolean mChat;
    private final long mKvBytes;
    private final int mPriority;
    private final long mOrder;
    private final Condition mChanged;
    private String mInstance;
    private String mIncarnation;
    private int mReady;
    private int mRead;
    private int mReader;
    private boolean mAttached;
    private boolean mHoldsMemory;
    private boolean mRunning;
    private boolean mDropped;

    EngineSequence(
            String id,
            FakeModel.Plan plan,
            boolean chat,
            long kvBytes,
            int priority,
            long order,
            Lock lock) {
        mId = id;
        mPlan = plan;
        mChat = chat;
        mKvBytes = kvBytes;
        mPriority = priority;
        mOrder = order;
        mChanged = lock.newCondition();
    }

    String id() {
        return mId;
    }

    FakeModel.Plan plan() {
        return mPlan;
    }

    boolean isChat() {
        return mChat;
    }

    long kvBytes() {
        return mKvBytes;
    }

    int priority() {
        return mPriority;
    }

    long order() {
        return mOrder;
    }

    String instance() {
        return mInstance;
    }

    String incarnation() {
        return mIncarnation;
    }

    boolean isAttached() {
        return mAttached;
    }

    /** Tells whether memory and a place in the batch are held for this request. */
    boolean holdsMemory() {
        return mHoldsMemory;
    }

    void setHoldsMemory() {
        mHoldsMemory = true;
    }

    /** Tells whether the request's cache has been imported, so that tokens are generated. */
    boolean isRunning() {
        return mRunning;
    }

    boolean isDropped() {
        return mDropped;
    }

    boolean isGenerated() {
        return mReady >= mPlan.count();
    }

    /** Gives the stream to a new reader and detaches the one before; returns its number. */
    int attach(String instance, String incarnation, int offset) {
        mInstance = instance;
        mIncarnation = incarnation;
        mAttached = true;
        mRead = offset;
        mReader++;
        mChanged.signalAll();
        return mReader;
    }

    void detach(int reader) {
        if (reader == mReader) {
            mAttached = false;
        }
    }

    void setRunning() {
        mRunning = true;
        mChanged.signalAll();
    }

    void drop() {
        mDropped = true;
        mChanged.signalAll();
    }

    /** Makes one more token ready, unless the reader is too far behind. */
    boolean step() {
        if (isGenerated() || mReady - mRead >= MAX_AHEAD) {
            return false;
        }
        mReady++;
        mChanged.signalAll();
        return true;
    }

    /** Waits for a token; returns what the reader is to do. */
    Turn await(int reader, int offset) throws InterruptedException {
        mRead = reader == mReader ? offset : mRead;
        while (true) {
            if (mDropped) {
                return Turn.DROPPED;
            }
            if (reader != mReader) {
                return Turn.SUPERSEDED;
            }
            if (mRunning && offset < mReady) {
                return Turn.TOKEN;
            }
            if (mRunning && mPlan.count() == 0) {
                return Turn.TOKEN;
            }
            mChanged.await(1, TimeUnit.SECONDS);
        }
    }

    /** What a reader finds. */
    enum Turn {
        /** The token at its offset is ready. */
        TOKEN,
        /** Another reader has taken the stream over. */
        SUPERSEDED,
        /** The request was cancelled or has ended. */
        DROPPED
    }
}
