/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.internal.log.PartLog;

/** Counts the statements of one kind that cannot be read, and logs some. Thread-safe. */
public final class UnreadableStatements {
    private static final PartLog LOG = PartLog.of("pacing");

    /** The longest foreign text in a line. */
    private static final int MAX_LOGGED_CHARACTERS = 100;

    private final String mKind;
    private final AtomicLong mCount = new AtomicLong();

    /** Creates it for what stands in the lines, such as "a limit that is no number". */
    UnreadableStatements(String kind) {
        mKind = kind;
    }

    /**
     * Creates it for what stands in place of a pause.
     *
     * @return one without any
     */
    public static UnreadableStatements ofTimesToComeBack() {
        return new UnreadableStatements("a time to come back that is no number of seconds");
    }

    /**
     * Counts one. Logs the first, the second, the fourth and so on, so that lines stay few.
     *
     * @param upstream the name of the upstream
     * @param text what it states
     */
    public void add(String upstream, String text) {
        long count = mCount.incrementAndGet();
        if (Long.bitCount(count) == 1) {
            int length = Math.min(text.length(), MAX_LOGGED_CHARACTERS);
            LOG.warn(
                    "upstream %s states %s, %d such answers so far: %s; what was known holds on",
                    upstream, mKind, count, text.substring(0, length).replaceAll("[^ -~]", "?"));
        }
    }

    long count() {
        return mCount.get();
    }
}
