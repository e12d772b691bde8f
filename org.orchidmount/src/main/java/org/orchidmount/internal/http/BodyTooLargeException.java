/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;

/** A request body is larger than allowed. */
public final class BodyTooLargeException extends IOException {
    /**
     * Creates the exception.
     *
     * @param mostBytes the largest body taken
     */
    public BodyTooLargeException(long mostBytes) {
        super("the body is larger than " + mostBytes + " bytes");
    }
}
