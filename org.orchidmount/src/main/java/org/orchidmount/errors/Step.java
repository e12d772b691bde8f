/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.errors;

import java.util.Locale;

/** The step of a request's path at which a failure arose. */
public enum Step {
    /** Reading and identifying the request of a caller. */
    ACCEPT,
    /** Limits, queue and choice of upstreams. */
    ADMIT,
    /** Prompt processing at a prefill engine. */
    PREFILL,
    /** Token generation at a decode engine, with the transfer that precedes it. */
    DECODE,
    /** A call to a plain service. */
    FORWARD,
    /** Writing the answer to the caller. */
    ANSWER,
    /** Cancelling a request at an engine. */
    CANCEL,
    /** Reading the load report or the running requests of an engine. */
    REPORT;

    /**
     * Returns the name used in logs, metrics and answers.
     *
     * @return the lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
