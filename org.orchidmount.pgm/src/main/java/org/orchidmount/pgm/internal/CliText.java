/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

/** The texts that operators read, in one place. */
public final class CliText {
    /** No instance was named. */
    public static final String NO_OPERATORS =
            "no instance named: give --operators URL or set ORCHIDMOUNT_OPERATORS";

    /** No token was given. */
    public static final String NO_TOKEN =
            "no token: give --token or --token-file, or set ORCHIDMOUNT_TOKEN";

    /** A row is not there. */
    public static final String NO_ROW = "%s is not in the table of %s";

    /** A field assignment is garbled. */
    public static final String BAD_ASSIGNMENT = "'%s' is no assignment; give FIELD=VALUE";

    /** A file has an unknown ending. */
    public static final String BAD_FILE_TYPE = "'%s' is neither .csv nor .json";

    /** CSV holds one kind of row. */
    public static final String CSV_NEEDS_KIND = "CSV holds rows of one kind; name the kind";

    /** A file cannot be read as rows. */
    public static final String BAD_ROW_IN_FILE = "%s, row %d: %s";

    /** The last value of a file may be cut. */
    public static final String CUT_FILE =
            "%s ends inside its last line and may be cut; if it is whole, add a line break";

    private CliText() {}
}
