/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit.internal;

import org.orchidmount.routing.PromptBlocks;

/** A prompt that waits at a fake engine or is being processed. Guarded by the engine's lock. */
final class EnginePrefill {
    private final String mId;
    private final String mInstance;
    private final String mIncarnation;
    private final PromptBlocks mBlocks;
    private final long mKvBytes;
    private final int mPriority;
    private final long mOrder;
    private EngineCore.Export mResult;
    private boolean mCancelled;
    private boolean mHoldsMemory;

    EnginePrefill(
            String id,
            String instance,
            String incarnation,
            PromptBlocks blocks,
            long kvBytes,
            int priority,
            long order) {
        mId = id;
        mInstance = instance;
        mIncarnation = incarnation;
        mBlocks = blocks;
        mKvBytes = kvBytes;
        mPriority = priority;
        mOrder = order;
    }

    String id() {
        return mId;
    }

    String instance() {
        return mInstance;
    }

    String incarnation() {
        return mIncarnation;
    }

    PromptBlocks blocks() {
        return mBlocks;
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

    /** Returns the exported cache, or null if the prompt is not processed yet. */
    EngineCore.Export result() {
        return mResult;
    }

    void setResult(EngineCore.Export result) {
        mResult = result;
    }

    boolean isCancelled() {
        return mCancelled;
    }

    void cancel() {
        mCancelled = true;
    }

    boolean holdsMemory() {
        return mHoldsMemory;
    }

    void setHoldsMemory(boolean holds) {
        mHoldsMemory = holds;
    }
}
