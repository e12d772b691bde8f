/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.List;
import java.util.OptionalInt;

/**
 * Decides which callers are disconnected because of the bytes that they have not read. Pure and
 * immutable.
 *
 * <p>A response that is complete grows no more, so the bound for one caller does not end it; its
 * size is bounded where it is read from its upstream. The bound for all ends it like any other.
 *
 * @param callerBytes the most bytes held for one caller whose response is not complete
 * @param totalBytes the most bytes held for all callers
 */
public record UnreadRule(long callerBytes, long totalBytes) {
    /**
     * Weight of bytes that are overdue against those that are not. A caller that reads has just
     * been sent most of what it has not read; a large response to it should not be ended for the
     * sake of callers that do not read. With 4, the largest response, 4 MiB, weighs at first as
     * much as 1 MiB that is overdue.
     */
    private static final int OVERDUE_WEIGHT = 4;

    /** Checks the bounds. */
    public UnreadRule {
        if (callerBytes <= 0 || totalBytes < callerBytes) {
            throw new IllegalArgumentException(
                    "bounds of " + callerBytes + " bytes of " + totalBytes);
        }
    }

    /**
     * What is held for a caller. Immutable.
     *
     * @param bytes the bytes held
     * @param overdueBytes those of them that have been held for longer than one to two seconds
     */
    public record Unread(long bytes, long overdueBytes) {
        private long weight() {
            return bytes + (OVERDUE_WEIGHT - 1) * overdueBytes;
        }
    }

    /**
     * Returns whether a caller exceeds a bound on its own.
     *
     * @param bytes the bytes that would be held for it
     * @param isComplete whether its response is complete
     * @return true if it is to be disconnected
     */
    public boolean isTooMuchForOne(long bytes, boolean isComplete) {
        return bytes > totalBytes || !isComplete && bytes > callerBytes;
    }

    /**
     * Selects the caller to be disconnected if all callers together exceed the bound.
     *
     * @param callers what is held for each caller
     * @return the index of the caller to be disconnected; empty if none is
     */
    public OptionalInt disconnect(List<Unread> callers) {
        long sumBytes = 0;
        int heaviest = -1;
        for (int i = 0; i < callers.size(); i++) {
            Unread caller = callers.get(i);
            sumBytes += caller.bytes();
            if (heaviest < 0 || caller.weight() > callers.get(heaviest).weight()) {
                heaviest = i;
            }
        }
        return sumBytes > totalBytes ? OptionalInt.of(heaviest) : OptionalInt.empty();
    }
}
