/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/** How an attempt to serve a request at one upstream ended. */
public enum AttemptOutcome {
    /** The caller has its answer or has disconnected. */
    ENDED,
    /** No connection to the upstream was made. */
    NOT_REACHED,
    /** The upstream states that it has not run the request and will not run it. */
    NOT_RUN,
    /** The upstream may have run the request. */
    MAY_HAVE_RUN
}
