/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;

/** Decides whether the end of a response may be written. Called on the I/O thread. */
@FunctionalInterface
interface EndGate {
    /**
     * Called once all bytes of the body have left, before the end is written.
     *
     * @throws IOException if the response was given up
     */
    void pass() throws IOException;
}
