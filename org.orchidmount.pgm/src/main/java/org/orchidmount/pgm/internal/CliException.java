/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

/** Ends a subcommand with a message and an exit code. */
public final class CliException extends RuntimeException {
    private final ExitCode mCode;

    /**
     * Creates the exception.
     *
     * @param code the exit code
     * @param message what went wrong, with the remedy
     */
    public CliException(ExitCode code, String message) {
        super(message);
        mCode = code;
    }

    /**
     * Returns the exit code.
     *
     * @return the code
     */
    public ExitCode code() {
        return mCode;
    }
}
