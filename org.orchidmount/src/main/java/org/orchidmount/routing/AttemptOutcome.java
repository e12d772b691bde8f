/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/** How an attempt to serve a request at one upstream ended. */
public enum AttemptOutcome {
    /** The caller has its answer, or has gone. */
    ENDED,
    /** The upstream was never reached. */
    NOT_REACHED,
    /** The upstream says that it has not run the request and will not. */
    NOT_RUN,
    /** The upstream may have run the request. */
    MAY_HAVE_RUN
}
