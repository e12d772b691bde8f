/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;

/**
 * Result of a quota request. Immutable.
 *
 * @param outcome whether the units may be used
 * @param retryAfter time after which the key is expected to have capacity; zero unless the outcome
 *     is {@link Outcome#EXCEEDED}
 */
public record QuotaAnswer(Outcome outcome, Duration retryAfter) {
    /** Whether the requested units may be used. */
    public enum Outcome {
        /** The units may be used and are counted by the owner. */
        GRANTED,
        /** The units may be used; granted without the lease, out of the tolerance of the limit. */
        GRANTED_OFFLINE,
        /** The key has used up its limit. */
        EXCEEDED,
        /** The request exceeds what the limit can ever hold at once. */
        TOO_LARGE,
        /** The instance that was asked does not own the bucket, or no owner answered. */
        NO_OWNER
    }

    /** Granted by the owner of the bucket. */
    public static final QuotaAnswer GRANTED = new QuotaAnswer(Outcome.GRANTED, Duration.ZERO);

    /** Granted although no owner answered. */
    public static final QuotaAnswer GRANTED_OFFLINE =
            new QuotaAnswer(Outcome.GRANTED_OFFLINE, Duration.ZERO);

    /** Refused because the limit never holds that many units. */
    public static final QuotaAnswer TOO_LARGE = new QuotaAnswer(Outcome.TOO_LARGE, Duration.ZERO);

    /** No owner of the bucket answered. */
    public static final QuotaAnswer NO_OWNER = new QuotaAnswer(Outcome.NO_OWNER, Duration.ZERO);

    /**
     * Creates the answer for a limit that is used up.
     *
     * @param retryAfter time after which capacity is expected
     * @return the answer
     */
    public static QuotaAnswer exceeded(Duration retryAfter) {
        return new QuotaAnswer(Outcome.EXCEEDED, retryAfter);
    }

    /**
     * Returns whether the units may be used.
     *
     * @return true if granted, with or without the owner
     */
    public boolean isGranted() {
        return outcome == Outcome.GRANTED || outcome == Outcome.GRANTED_OFFLINE;
    }
}
