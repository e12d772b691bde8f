/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.lock;

/** A lock was asked for out of order; it is a defect of the program. */
public final class LockOrderException extends IllegalStateException {
    /**
     * Creates the exception.
     *
     * @param held the latest rank held by the thread
     * @param wanted the rank asked for
     */
    public LockOrderException(LockRank held, LockRank wanted) {
        super("lock " + wanted + " asked for while " + held + " is held");
    }
}
