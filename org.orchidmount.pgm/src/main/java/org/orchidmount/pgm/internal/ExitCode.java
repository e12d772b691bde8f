/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import io.undertow.util.StatusCodes;

/** The exit codes, one for each class of failure. */
public enum ExitCode {
    /** All went well. */
    OK(0),
    /** A failure of no other class. */
    FAILED(1),
    /** The command line or a file is wrong. */
    USAGE(2),
    /** An instance did not answer. */
    UNREACHABLE(10),
    /** The token is unknown or its role too low. */
    FORBIDDEN(11),
    /** Another change came first. */
    CONFLICT(12),
    /** The change breaks a rule of the table. */
    INVALID(13),
    /** The instance cannot do it now. */
    UNAVAILABLE(14);

    private final int mNumber;

    ExitCode(int number) {
        mNumber = number;
    }

    /**
     * Returns the code given to the shell.
     *
     * @return the number
     */
    public int number() {
        return mNumber;
    }

    /**
     * Finds the code for a refusal.
     *
     * @param status the HTTP status
     * @return the code
     */
    public static ExitCode ofStatus(int status) {
        return switch (status) {
            case StatusCodes.UNAUTHORIZED, StatusCodes.FORBIDDEN -> FORBIDDEN;
            case StatusCodes.CONFLICT -> CONFLICT;
            case StatusCodes.BAD_REQUEST, StatusCodes.UNPROCESSABLE_ENTITY -> INVALID;
            case StatusCodes.SERVICE_UNAVAILABLE -> UNAVAILABLE;
            default -> FAILED;
        };
    }
}
