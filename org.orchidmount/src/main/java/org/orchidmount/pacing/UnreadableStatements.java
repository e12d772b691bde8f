/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.internal.log.PartLog;

/** Counts the statements of one kind that cannot be parsed, and logs some of them. Thread-safe. */
public final class UnreadableStatements {
    private static final PartLog LOG = PartLog.of("pacing");

    /** Maximum length of text from an upstream in a log line. */
    private static final int MAX_LOGGED_CHARACTERS = 100;

    private final String mKind;
    private final AtomicLong mCount = new AtomicLong();

    /**
     * Creates a counter for a kind as named in log lines, such as "a rate limit that is not a
     * number".
     */
    UnreadableStatements(String kind) {
        mKind = kind;
    }

    /**
     * Creates a counter for unreadable retry times.
     *
     * @return counter at zero
     */
    public static UnreadableStatements ofRetryTimes() {
        return new UnreadableStatements("a retry time that is not a number of seconds");
    }

    /**
     * Counts a statement. Logs the first, second, fourth and so on, to limit the number of log
     * lines.
     *
     * @param upstream name of the upstream
     * @param text text of the statement
     */
    public void add(String upstream, String text) {
        long count = mCount.incrementAndGet();
        if (Long.bitCount(count) == 1) {
            int length = Math.min(text.length(), MAX_LOGGED_CHARACTERS);
            LOG.warn(
                    "upstream %s sent %s, %d such responses so far: %s; keeping the previous value",
                    upstream, mKind, count, text.substring(0, length).replaceAll("[^ -~]", "?"));
        }
    }

    long count() {
        return mCount.get();
    }
}
