/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.List;

/**
 * Why a decode engine has room for a request or not: the forecast of its memory decides, not its
 * number of sequences. Pure.
 *
 * <p>Several instances may choose the same engine at the same moment. So a placement is checked
 * again once all instances have received it; of placements that happened together, those with the
 * lower identities stay, and every instance decides alike.
 */
public final class MemoryRule {
    /** The share of an engine's memory that is planned with; blocks waste the rest. */
    private static final double USABLE_SHARE = 0.97;

    /**
     * Percent of the memory that client retries may fill (trunk reservation). A retry is late
     * already. Where there is not enough room for all, each that is served takes the room of a new
     * request that could be in time, and just as many callers are refused twice; where there is, it
     * is served all the same: room for two to four requests on the users' sites.
     */
    private static final int CLIENT_RETRY_PERCENT = 85;

    /**
     * Percent of the memory below which a placement is not checked again: several at one moment do
     * no harm there.
     */
    private static final int ROOMY_PERCENT = 50;

    /** Longer than an announcement takes to all instances: some 30 ms on the sites. */
    private static final Duration TOGETHER = Duration.ofMillis(80);

    /** Output tokens reserved where the sequences of all instances are known. */
    private static final int FIRST_OUTPUT_TOKENS = 256;

    private MemoryRule() {}

    /**
     * Tells whether sequences fit into an engine.
     *
     * @param sequences all of them, a candidate included
     * @param memoryTokens the memory of the engine
     * @return true if the forecast stays within its usable memory
     */
    public static boolean fits(List<MemoryForecast.Sequence> sequences, double memoryTokens) {
        return MemoryForecast.peakTokens(sequences) <= USABLE_SHARE * memoryTokens;
    }

    /**
     * Tells whether a request can ever be placed: whether it fits into an engine that is empty.
     *
     * @param request the request, as it begins
     * @param memoryTokens the memory of the engine
     * @return false if waiting is of no use
     */
    public static boolean canEverFit(MemoryForecast.Sequence request, double memoryTokens) {
        return fits(List.of(request), memoryTokens);
    }

    /**
     * Returns the memory of an engine that a request may help to fill. A client retry that would
     * not fit into its part of an empty engine may fill all of it, or it would be refused for ever.
     *
     * @param request the request, as it begins
     * @param isClientRetry whether its caller was refused before
     * @param memoryTokens the memory of the engine
     * @return tokens
     */
    public static long availableTokens(
            MemoryForecast.Sequence request, boolean isClientRetry, long memoryTokens) {
        long forRetries = memoryTokens * CLIENT_RETRY_PERCENT / 100;
        return isClientRetry && canEverFit(request, forRetries) ? forRetries : memoryTokens;
    }

    /**
     * Returns the memory within which a placement needs no second check.
     *
     * @param memoryTokens the memory of the engine
     * @return tokens
     */
    public static long roomyTokens(long memoryTokens) {
        return memoryTokens * ROOMY_PERCENT / 100;
    }

    /**
     * Returns the memory to reserve at an engine: where the sequences of all instances are known,
     * enough to begin, since a reservation keeps memory from others that is not used yet; else all
     * that the output is likely to take (rounds 60f8c82e, 1aa7b9ae and bee067e3).
     *
     * @param promptTokens the tokens of the prompt
     * @param maxOutputTokens the most tokens of the output
     * @param likelyOutputTokens what the output is likely to take at most
     * @param areAllKnown whether nearly all sequences in flight are known here
     * @return tokens
     */
    public static int reservedTokens(
            int promptTokens, int maxOutputTokens, int likelyOutputTokens, boolean areAllKnown) {
        int outputTokens =
                areAllKnown ? Math.min(FIRST_OUTPUT_TOKENS, maxOutputTokens) : likelyOutputTokens;
        return promptTokens + outputTokens;
    }

    /**
     * Tells which of two placements at an engine stays if both do not fit.
     *
     * @param otherNanos when the other was first announced here
     * @param otherId its identity
     * @param ownNanos when the placement in question was first announced here
     * @param ownId its identity
     * @return true if the other stays
     */
    public static boolean hasPrecedence(
            long otherNanos, String otherId, long ownNanos, String ownId) {
        boolean together = otherNanos - ownNanos > -TOGETHER.toNanos();
        return together ? otherId.compareTo(ownId) < 0 : !otherId.equals(ownId);
    }
}
