/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.errors;

/** Carries a {@link Failure} out of blocking I/O up to the boundary that turns it into a result. */
public final class CallFailedException extends Exception {
    private final transient Failure mFailure;

    /**
     * Wraps a failure.
     *
     * @param failure the failure
     */
    public CallFailedException(Failure failure) {
        super(failure.describe());
        mFailure = failure;
    }

    /**
     * Returns the failure.
     *
     * @return the failure
     */
    public Failure failure() {
        return mFailure;
    }
}
