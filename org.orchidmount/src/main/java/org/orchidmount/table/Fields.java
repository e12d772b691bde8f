/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.regex.Pattern;

/** Checks of single fields of rows. Stateless and thread-safe. */
final class Fields {
    /** The most characters in a name. */
    static final int MAX_NAME_LENGTH = 100;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Fields() {}

    static void name(String field, String value) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(field + " is missing; give a name");
        }
        if (value.length() > MAX_NAME_LENGTH || !NAME.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    field
                            + " '"
                            + value
                            + "' is no name; use letters, digits, dot, dash and underscore, at most"
                            + " "
                            + MAX_NAME_LENGTH);
        }
    }

    static void range(String field, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    field + " is " + value + "; give a value from " + least + " to " + most);
        }
    }

    static void present(String field, Object value, String remedy) {
        if (value == null) {
            throw new IllegalArgumentException(field + " is missing; " + remedy);
        }
    }
}
