/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

/** What may be repeated of a route's requests. */
public enum RequestKind {
    /** A request may run more than once. */
    SAFE,
    /** A request runs at most once. */
    UNSAFE,
    /** The answer is a stream of events. */
    STREAM
}
