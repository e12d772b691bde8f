/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;

/**
 * What became of a question for units. Immutable.
 *
 * @param outcome whether they may be used
 * @param comeBackAfter when the key is expected to have room again; zero unless it has none
 */
public record QuotaAnswer(Outcome outcome, Duration comeBackAfter) {
    /** Whether units may be used. */
    public enum Outcome {
        /** They may be used, and count as used. */
        GRANTED,
        /** They may be used, granted without the lease out of what the limit tolerates. */
        GRANTED_OFFLINE,
        /** The key has used up its limit. */
        EXCEEDED,
        /** More is asked for than the limit will ever hold at once. */
        TOO_LARGE,
        /** The asked instance does not own the bucket, or no owner answered. */
        NO_OWNER
    }

    /** The units may be used. */
    public static final QuotaAnswer GRANTED = new QuotaAnswer(Outcome.GRANTED, Duration.ZERO);

    /** The units may be used, though no owner answered. */
    public static final QuotaAnswer GRANTED_OFFLINE =
            new QuotaAnswer(Outcome.GRANTED_OFFLINE, Duration.ZERO);

    /** The limit never holds so much. */
    public static final QuotaAnswer TOO_LARGE = new QuotaAnswer(Outcome.TOO_LARGE, Duration.ZERO);

    /** Nobody who owns the bucket answered. */
    public static final QuotaAnswer NO_OWNER = new QuotaAnswer(Outcome.NO_OWNER, Duration.ZERO);

    /**
     * Tells that the limit is used up.
     *
     * @param comeBackAfter when there is expected to be room
     * @return the answer
     */
    public static QuotaAnswer exceeded(Duration comeBackAfter) {
        return new QuotaAnswer(Outcome.EXCEEDED, comeBackAfter);
    }

    /**
     * Tells whether the units may be used.
     *
     * @return true if so
     */
    public boolean isGranted() {
        return outcome == Outcome.GRANTED || outcome == Outcome.GRANTED_OFFLINE;
    }
}
