/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Decides how much of an engine's memory a request must leave to more urgent ones. Pure.
 *
 * <p>Once a request has been placed, its memory is not free again before its output ends. The
 * memory that more urgent requests are expected to need within that time, beyond what those already
 * running free, is therefore withheld from it. A request of the most urgent rank, or one that no
 * more urgent requests arrive beside, may fill all of the memory.
 */
public final class UrgentReserve {
    /** Percent of the memory that less urgent requests may fill, however large the reserve. */
    private static final int LESS_URGENT_PERCENT = 25;

    /**
     * Reserve in standard deviations of the memory that arrivals need. In the simulation with one
     * deviation, less urgent requests were refused at 85% of the capacity; with a fifth, a burst of
     * less urgent requests still took the room of urgent ones (docs/design/urgency.md).
     */
    private static final double RESERVE_DEVIATIONS = 0.5;

    /**
     * Number of consecutive requests of a rank that the reserve may hold back at an instance. The
     * next one is exempt, so that at least a quarter of the requests of each rank compete for all
     * of the memory. Without this, a more urgent rank that fills the engines by itself would leave
     * nothing to the others.
     */
    private static final int MAX_HELD_BACK_IN_A_ROW = 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Arriving requests.
     *
     * @param tokensPerSecond memory that they need, in tokens per second, at all engines of the
     *     service together
     * @param meanTokens mean memory that one of them needs, in tokens; 0 if there are none
     */
    public record Load(double tokensPerSecond, double meanTokens) {
        /** No requests. */
        public static final Load NONE = new Load(0, 0);
    }

    private UrgentReserve() {}

    /**
     * Returns whether the reserve does not apply to the next request of a rank.
     *
     * @param heldBackInARow number of requests of the rank to which the reserve applied and that
     *     were refused, since one was placed
     * @return true if the request may fill all of the memory
     */
    public static boolean isExempt(int heldBackInARow) {
        return heldBackInARow >= MAX_HELD_BACK_IN_A_ROW;
    }

    /**
     * Returns the memory of one engine that is withheld from a request.
     *
     * <p>While the request holds its memory, as many more urgent requests end as arrive on average.
     * Their number varies by its square root, and the reserve covers a part of this variation. With
     * less than a quarter of a request expected, it is all that is expected.
     *
     * @param moreUrgent arriving requests of more urgent ranks
     * @param engines number of engines that these requests can be placed at
     * @param heldMillis time for which the request is expected to hold its memory
     * @param memoryTokens KV cache memory of an engine, in tokens
     * @return tokens
     */
    public static long tokens(Load moreUrgent, int engines, double heldMillis, long memoryTokens) {
        double needed =
                moreUrgent.tokensPerSecond()
                        * (heldMillis / MILLIS_PER_SECOND)
                        / Math.max(1, engines);
        double deviation = Math.sqrt(needed * moreUrgent.meanTokens());
        long maxTokens = memoryTokens - memoryTokens * LESS_URGENT_PERCENT / 100;
        return Math.min((long) Math.min(needed, RESERVE_DEVIATIONS * deviation), maxTokens);
    }

    /**
     * Returns how much of an engine's memory may be in use once a request is placed on it. A
     * request that does not fit into what the reserve leaves of an empty engine may be placed on an
     * empty one; otherwise it would always be refused.
     *
     * @param request the request before its first output token
     * @param availableTokens tokens that may be in use if nothing is withheld
     * @param reserveTokens tokens withheld from the request
     * @param memoryTokens KV cache memory of the engine, in tokens
     * @return tokens, at most {@code availableTokens}
     */
    public static long availableTokens(
            MemoryForecast.Sequence request,
            long availableTokens,
            long reserveTokens,
            long memoryTokens) {
        long remainder = memoryTokens - reserveTokens;
        if (remainder >= availableTokens) {
            return availableTokens;
        }
        long leastTokens = Math.min(availableTokens, MemoryRule.emptyEngineTokens(request));
        return Math.max(remainder, leastTokens);
    }
}
