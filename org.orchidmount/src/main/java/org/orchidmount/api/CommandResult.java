/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.api;

import org.orchidmount.errors.Failure;

/**
 * What a command yields. Immutable.
 *
 * @param <T> the type of the value
 */
public sealed interface CommandResult<T> {
    /**
     * The instance did as asked.
     *
     * @param value the value
     * @param <T> the type of the value
     */
    record Done<T>(T value) implements CommandResult<T> {}

    /**
     * The instance answered that it will not.
     *
     * @param status the HTTP status
     * @param code a short name for programs
     * @param message the instance's explanation
     * @param <T> the type of the value that is missing
     */
    record Refused<T>(int status, String code, String message) implements CommandResult<T> {}

    /**
     * The instance did not answer.
     *
     * @param failure why, with the step and the peer
     * @param <T> the type of the value that is missing
     */
    record Failed<T>(Failure failure) implements CommandResult<T> {}
}
