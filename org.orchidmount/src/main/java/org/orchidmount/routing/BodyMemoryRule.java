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
 * @param requestBytes the most bytes held of the bodies of requests
 * @param totalBytes the most bytes held of all bodies, those of responses included
 */
public record BodyMemoryRule(long requestBytes, long totalBytes) {
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

    /** Checks the bounds. */
    public BodyMemoryRule {
        if (requestBytes <= 0 || totalBytes < requestBytes) {
            throw new IllegalArgumentException(
                    "bounds of " + requestBytes + " bytes of " + totalBytes);
        }
    }

    /** Creates a rule for requests only. */
    public BodyMemoryRule(long totalBytes) {
        this(totalBytes, totalBytes);
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
     * Returns the rule of a process that reads responses whole as well: requests have the same
     * bound, and responses take what they leave of a larger one.
     *
     * @param heapBytes the largest heap of the process
     * @param otherBytes bytes of it that have a bound of their own
     * @param mostBytes the largest response
     * @return the rule
     */
    public BodyMemoryRule withResponses(long heapBytes, long otherBytes, long mostBytes) {
        long shareBytes = (long) (MOST_HEAP_SHARE * (heapBytes - otherBytes));
        return new BodyMemoryRule(
                requestBytes, Math.max(requestBytes + leastFor(mostBytes), shareBytes));
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
     * Returns the most bytes that the large bodies of all requests may take.
     *
     * @return the bytes
     */
    public long largeBytes() {
        return requestBytes - requestBytes / SMALL_SHARE_DIVISOR;
    }

    /**
     * What is held of other bodies. Immutable.
     *
     * @param requestBytes the bytes held of requests
     * @param largeRequestBytes those of them that belong to large bodies
     * @param responseBytes the bytes held of responses
     */
    public record Held(long requestBytes, long largeRequestBytes, long responseBytes) {
        private static final Held NOTHING = new Held(0, 0, 0);
    }

    /**
     * Returns whether a body would fit if no other one was held.
     *
     * @param bytes the bytes to be held of it
     * @param isResponse whether it is that of a response
     * @return false if it is never to be taken
     */
    public boolean canEverHold(long bytes, boolean isResponse) {
        return isResponse
                ? canHoldResponse(bytes, Held.NOTHING)
                : canHoldRequest(bytes, Held.NOTHING);
    }

    /**
     * Returns whether the body of a request fits beside the others.
     *
     * @param bytes the bytes to be held of it
     * @param others what is held of all other bodies
     * @return true if it may be held
     */
    public boolean canHoldRequest(long bytes, Held others) {
        if (bytes > requestBytes - others.requestBytes()) {
            return false;
        }
        return isLarge(bytes)
                ? bytes <= largeBytes() - others.largeRequestBytes()
                        && fitsBesideSmall(bytes, others)
                : bytes <= totalBytes - others.requestBytes() - others.responseBytes();
    }

    /**
     * Returns whether the body of a response fits beside the others.
     *
     * @param bytes the bytes to be held of it
     * @param others what is held of all other bodies
     * @return true if it may be held
     */
    public boolean canHoldResponse(long bytes, Held others) {
        return fitsBesideSmall(bytes, others);
    }

    /** Returns whether a share is left to the small bodies of requests. */
    private boolean fitsBesideSmall(long bytes, Held others) {
        long largeBytes = totalBytes - requestBytes / SMALL_SHARE_DIVISOR;
        return bytes <= largeBytes - others.largeRequestBytes() - others.responseBytes()
                && bytes <= totalBytes - others.requestBytes() - others.responseBytes();
    }
}
