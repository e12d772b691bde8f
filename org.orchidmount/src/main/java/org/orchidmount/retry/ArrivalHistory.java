/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

/**
 * The arrivals of one request at upstreams, and which of them count as retries. Immutable.
 *
 * <p>Every arrival counts, whatever the upstream does with it, except the first prefill that an
 * upstream accepts. Each counted arrival after the first is a retry. A request that may have been
 * sent counts as arrived.
 *
 * @param counted number of counted arrivals
 * @param isPrefillAccepted whether an upstream has accepted a prefill
 */
public record ArrivalHistory(int counted, boolean isPrefillAccepted) {
    /** History before anything was sent. */
    public static final ArrivalHistory NONE = new ArrivalHistory(0, false);

    /** What is sent to an upstream. */
    public enum Phase {
        /** The prompt, to be prefilled and continued elsewhere. */
        PREFILL,
        /** The request itself, or the rest of a stream that broke off. */
        RUN
    }

    /** What became of it. */
    public enum Result {
        /** Nothing was sent. */
        NOT_SENT,
        /** The upstream stated that it refuses it. */
        REFUSED,
        /** The upstream failed it, or it is not known whether it arrived. */
        ARRIVED,
        /** The upstream accepted it. */
        ACCEPTED
    }

    /**
     * Returns the permits to hold before something is sent: those that it is charged if the
     * upstream refuses it, and those of the run that follows an accepted prefill, so that no
     * prefill is made for a run that may not be sent.
     *
     * @param phase what is to be sent
     * @return number of permits
     */
    public int permitsBefore(Phase phase) {
        int refused = retries(counted + 1) - retries(counted);
        if (phase == Phase.RUN) {
            return refused;
        }
        ArrivalHistory accepted = after(Phase.PREFILL, Result.ACCEPTED);
        return Math.max(refused, retries(accepted.counted + 1) - retries(counted));
    }

    /**
     * Adds what was sent.
     *
     * @param phase what was sent
     * @param result what became of it
     * @return the updated history
     */
    public ArrivalHistory after(Phase phase, Result result) {
        boolean isAcceptedPrefill = phase == Phase.PREFILL && result == Result.ACCEPTED;
        boolean isFree = isAcceptedPrefill && !isPrefillAccepted;
        return new ArrivalHistory(
                counted + (result == Result.NOT_SENT || isFree ? 0 : 1),
                isPrefillAccepted || isAcceptedPrefill);
    }

    /**
     * Returns the retries among the arrivals so far.
     *
     * @return number of retries
     */
    public int retries() {
        return retries(counted);
    }

    private static int retries(int counted) {
        return Math.max(0, counted - 1);
    }
}
