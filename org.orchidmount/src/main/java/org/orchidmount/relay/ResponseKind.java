/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

/** What the head of an upstream's response means. */
public enum ResponseKind {
    /** The response of the upstream to this request, whatever its status. */
    RESPONSE,
    /** The upstream states that it has not run the request and will not. */
    NOT_RUN,
    /** Another upstream answered at the address; it has not run the request. */
    MISDIRECTED,
    /** The response to another request, or from a sender that cannot be trusted. */
    FOREIGN
}
