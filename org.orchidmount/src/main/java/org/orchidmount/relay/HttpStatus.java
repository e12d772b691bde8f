/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.util.StatusCodes;

/** Classes of HTTP status codes. Stateless. */
final class HttpStatus {
    private HttpStatus() {}

    static boolean isOk(int status) {
        return status == StatusCodes.OK;
    }

    static boolean isSuccess(int status) {
        return status >= StatusCodes.OK && status < StatusCodes.MULTIPLE_CHOICES;
    }

    static boolean isServerError(int status) {
        return status >= StatusCodes.INTERNAL_SERVER_ERROR;
    }
}
