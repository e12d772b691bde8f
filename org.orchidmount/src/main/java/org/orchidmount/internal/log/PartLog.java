/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * The log of one part of the program. Each line begins with the part's fixed prefix.
 *
 * <p>Immutable and thread-safe.
 */
public final class PartLog {
    private final Logger mLogger;
    private final String mPrefix;

    private PartLog(String part) {
        mLogger = System.getLogger("org.orchidmount." + part);
        mPrefix = part + ": ";
    }

    /**
     * Returns the log of a part.
     *
     * @param part the part's short name, for example "front"
     * @return the log
     */
    public static PartLog of(String part) {
        return new PartLog(part);
    }

    /**
     * Writes a line for developers.
     *
     * @param format a format as of {@link String#format}
     * @param arguments its arguments
     */
    public void debug(String format, Object... arguments) {
        write(Level.DEBUG, format, arguments);
    }

    /**
     * Writes a line about normal operation.
     *
     * @param format a format as of {@link String#format}
     * @param arguments its arguments
     */
    public void info(String format, Object... arguments) {
        write(Level.INFO, format, arguments);
    }

    /**
     * Writes a line about something that an operator may have to look at.
     *
     * @param format a format as of {@link String#format}
     * @param arguments its arguments
     */
    public void warn(String format, Object... arguments) {
        write(Level.WARNING, format, arguments);
    }

    /**
     * Writes a line about a defect, with its stack trace.
     *
     * @param message the message
     * @param cause what was thrown
     */
    public void error(String message, Throwable cause) {
        mLogger.log(Level.ERROR, mPrefix + message, cause);
    }

    private void write(Level level, String format, Object... arguments) {
        if (mLogger.isLoggable(level)) {
            mLogger.log(level, mPrefix + String.format(format, arguments));
        }
    }
}
