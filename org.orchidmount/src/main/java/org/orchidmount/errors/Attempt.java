/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.errors;

/**
 * The result of a step that can fail: a value or a failure. Immutable.
 *
 * @param <T> the type of the value
 */
public sealed interface Attempt<T> {
    /**
     * A step that succeeded.
     *
     * @param value the value
     * @param <T> the type of the value
     */
    record Done<T>(T value) implements Attempt<T> {}

    /**
     * A step that failed.
     *
     * @param failure why
     * @param <T> the type of the value that is missing
     */
    record Failed<T>(Failure failure) implements Attempt<T> {}
}
