/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

/** Whether the requests of a route may be repeated, and the form of their responses. */
public enum RequestKind {
    /** A request may be executed more than once. */
    SAFE,
    /** A request must be executed at most once. */
    UNSAFE,
    /** The response is a stream of events. */
    STREAM
}
