/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.time.Duration;

/** There is no memory for a body, which was not read whole. */
public final class NoBodyMemoryException extends IOException {
    private final transient Duration mHoldTime;

    /**
     * Creates the exception.
     *
     * @param bytes the bytes that were asked for
     * @param holdTime how long bodies are held on average
     */
    NoBodyMemoryException(long bytes, Duration holdTime) {
        super("no memory for " + bytes + " bytes of a body");
        mHoldTime = holdTime;
    }

    /**
     * Returns how long the bodies that take the memory are held on average.
     *
     * @return the time
     */
    public Duration holdTime() {
        return mHoldTime;
    }
}
