/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

/** How an instance opens new connections to upstreams. */
public enum ConnectionPath {
    /** Directly. */
    DIRECT,
    /** Through a tunnel of another instance, because no upstream can be reached directly. */
    TUNNEL,
    /** Not at all: no upstream can be reached directly or through another instance. */
    NONE
}
