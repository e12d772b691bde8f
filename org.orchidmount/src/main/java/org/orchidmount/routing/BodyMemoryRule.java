/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Decides whether the body of a request may be held in memory beside those that are held already.
 * Large bodies leave a share to small ones, so that small requests are served while large ones
 * wait. Pure and immutable.
 *
 * @param totalBytes the most bytes held of all bodies
 */
public record BodyMemoryRule(long totalBytes) {
    /** Holds any number of bodies. */
    public static final BodyMemoryRule UNBOUNDED = new BodyMemoryRule(Long.MAX_VALUE);

    /** Bodies of requests are a few kilobytes, except uploads. */
    private static final long MAX_SMALL_BYTES = 64 * 1024;

    /** One part of this many is kept for small bodies. */
    private static final long SMALL_SHARE_DIVISOR = 16;

    /** Share of the heap that is left to bodies; the rest is for all other objects. */
    private static final double HEAP_SHARE = 0.6;

    /** With more, the heap has no room for other objects. */
    private static final double MOST_HEAP_SHARE = 0.75;

    /** Checks the bound. */
    public BodyMemoryRule {
        if (totalBytes <= 0) {
            throw new IllegalArgumentException("a bound of " + totalBytes + " bytes");
        }
    }

    /**
     * Returns the rule for a process without a setting.
     *
     * @param heapBytes the largest heap of the process
     * @param otherBytes bytes of it that have a bound of their own
     * @return the rule
     */
    public static BodyMemoryRule ofHeap(long heapBytes, long otherBytes) {
        return new BodyMemoryRule((long) (HEAP_SHARE * Math.max(2, heapBytes - otherBytes)));
    }

    /**
     * Returns the largest bound that leaves room for other objects.
     *
     * @param heapBytes the largest heap of the process
     * @return the most bytes held of all bodies
     */
    public static long mostOfHeap(long heapBytes) {
        return (long) (MOST_HEAP_SHARE * heapBytes);
    }

    /**
     * Returns the smallest bound with which a body can be held, also while it is put together from
     * chunks and takes twice its size.
     *
     * @param bodyBytes the size of the body
     * @return the least bytes held of all bodies
     */
    public static long leastFor(long bodyBytes) {
        return 2 * bodyBytes * SMALL_SHARE_DIVISOR / (SMALL_SHARE_DIVISOR - 1) + 1;
    }

    /**
     * Returns whether a body counts as large.
     *
     * @param bytes the bytes held of it
     * @return true if small bodies go before it
     */
    public boolean isLarge(long bytes) {
        return bytes > MAX_SMALL_BYTES;
    }

    /**
     * Returns the most bytes that all large bodies may take.
     *
     * @return the bytes
     */
    public long largeBytes() {
        return totalBytes - totalBytes / SMALL_SHARE_DIVISOR;
    }

    /**
     * Returns whether a body would fit if no other one was held.
     *
     * @param bytes the bytes to be held of it
     * @return false if it is never to be taken
     */
    public boolean canEverHold(long bytes) {
        return canHold(bytes, 0, 0);
    }

    /**
     * Returns whether a body fits beside the others.
     *
     * @param bytes the bytes to be held of it
     * @param otherBytes the bytes held of all other bodies
     * @param otherLargeBytes those of them that belong to large bodies
     * @return true if it may be held
     */
    public boolean canHold(long bytes, long otherBytes, long otherLargeBytes) {
        return bytes <= totalBytes - otherBytes
                && (!isLarge(bytes) || bytes <= largeBytes() - otherLargeBytes);
    }
}
