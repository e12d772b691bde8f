/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.List;

/**
 * Decides whether a decode engine has room for a request, by the forecast of its memory rather than
 * by its number of sequences. Pure.
 *
 * <p>Several instances may choose the same engine at the same moment. A placement is therefore
 * checked again once all instances have received its announcement. Of concurrent placements, those
 * with the lower ids stay, so that every instance reaches the same decision.
 */
public final class MemoryRule {
    /**
     * Fraction of an engine's memory that is planned for; the rest is lost to partly filled blocks.
     */
    private static final double USABLE_SHARE = 0.97;

    /**
     * Percent of the memory that client retries may fill; the rest is reserved for new requests
     * (trunk reservation). A retry is already late. Under overload, each retry that is served takes
     * the room of a new request that could still be on time, and the number of callers that are
     * refused twice stays the same. Without overload, retries are served anyway. The reserved part
     * holds two to four requests on the users' sites.
     */
    private static final int CLIENT_RETRY_PERCENT = 85;

    /**
     * Percent of the memory below which a placement is not checked again, because concurrent
     * placements do no harm there.
     */
    private static final int UNCHECKED_PERCENT = 50;

    /**
     * Window within which placements count as concurrent: longer than an announcement takes to
     * reach all instances, which is some 30 ms on the sites.
     */
    private static final Duration CONCURRENCY_WINDOW = Duration.ofMillis(80);

    /** Output tokens reserved initially if the sequences of all instances are known. */
    private static final int INITIAL_OUTPUT_TOKENS = 256;

    private MemoryRule() {}

    /**
     * Returns whether sequences fit into the memory of an engine.
     *
     * @param sequences all sequences of the engine, including the candidate
     * @param memoryTokens KV cache memory of the engine, in tokens
     * @return true if the forecast stays within the usable memory
     */
    public static boolean fits(List<MemoryForecast.Sequence> sequences, double memoryTokens) {
        return MemoryForecast.peakTokens(sequences) <= USABLE_SHARE * memoryTokens;
    }

    /**
     * Returns whether a request fits into an empty engine.
     *
     * @param request the request before its first output token
     * @param memoryTokens KV cache memory of the engine, in tokens
     * @return false if the request can never be placed, so that waiting is useless
     */
    public static boolean canEverFit(MemoryForecast.Sequence request, double memoryTokens) {
        return fits(List.of(request), memoryTokens);
    }

    /**
     * Returns how much of an engine's memory may be in use once a request is placed on it. A client
     * retry that does not fit into its part of an empty engine may use all of the memory; otherwise
     * it would always be refused.
     *
     * @param request the request before its first output token
     * @param isClientRetry whether the caller was refused before
     * @param memoryTokens KV cache memory of the engine, in tokens
     * @return tokens
     */
    public static long availableTokens(
            MemoryForecast.Sequence request, boolean isClientRetry, long memoryTokens) {
        long retryTokens = memoryTokens * CLIENT_RETRY_PERCENT / 100;
        return isClientRetry && canEverFit(request, retryTokens) ? retryTokens : memoryTokens;
    }

    /**
     * Returns the least memory that an engine must have for a request to fit into it while it is
     * empty.
     *
     * @param request the request before its first output token
     * @return tokens
     */
    static long emptyEngineTokens(MemoryForecast.Sequence request) {
        return (long) (MemoryForecast.peakTokens(List.of(request)) / USABLE_SHARE) + 1;
    }

    /**
     * Returns the memory usage up to which a placement needs no second check.
     *
     * @param memoryTokens KV cache memory of the engine, in tokens
     * @return tokens
     */
    public static long uncheckedTokens(long memoryTokens) {
        return memoryTokens * UNCHECKED_PERCENT / 100;
    }

    /**
     * Returns the memory to reserve on an engine for a request. If the sequences of all instances
     * are known, only enough to begin is reserved, because a reservation withholds memory that is
     * not used yet. Otherwise the whole likely output is reserved.
     *
     * @param promptTokens length of the prompt
     * @param maxOutputTokens upper limit of output tokens
     * @param likelyOutputTokens output tokens that are unlikely to be exceeded
     * @param areAllKnown whether nearly all sequences in flight are known here
     * @return tokens
     */
    public static int reservedTokens(
            int promptTokens, int maxOutputTokens, int likelyOutputTokens, boolean areAllKnown) {
        int outputTokens =
                areAllKnown ? Math.min(INITIAL_OUTPUT_TOKENS, maxOutputTokens) : likelyOutputTokens;
        return promptTokens + outputTokens;
    }

    /**
     * Returns whether another placement on the same engine takes precedence if both do not fit.
     *
     * @param otherNanos monotonic time at which the other placement was first announced here
     * @param otherId id of the other placement
     * @param ownNanos monotonic time at which the placement in question was first announced here
     * @param ownId id of the placement in question
     * @return true if the other placement stays
     */
    public static boolean hasPrecedence(
            long otherNanos, String otherId, long ownNanos, String ownId) {
        boolean concurrent = otherNanos - ownNanos > -CONCURRENCY_WINDOW.toNanos();
        return concurrent ? otherId.compareTo(ownId) < 0 : !otherId.equals(ownId);
    }
}
