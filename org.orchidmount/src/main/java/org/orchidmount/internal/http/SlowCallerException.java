/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.io.Serial;

/** A caller was disconnected because it does not read its response. Immutable. */
final class SlowCallerException extends IOException {
    @Serial private static final long serialVersionUID = 1;

    SlowCallerException() {
        super("the caller reads too slowly");
    }
}
