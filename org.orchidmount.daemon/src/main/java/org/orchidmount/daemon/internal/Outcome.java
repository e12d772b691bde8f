/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

/** What an answer says of the request's fate. */
enum Outcome {
    /** The request ran and its whole answer was given. */
    COMPLETED("completed"),
    /** No byte of the request reached an upstream, and none ever will. */
    NOT_RUN("not-run"),
    /** The request may have run, in whole or in part. */
    UNKNOWN("unknown");

    private final String mLabel;

    Outcome(String label) {
        mLabel = label;
    }

    /** The name used in the header. */
    String label() {
        return mLabel;
    }
}
