/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

import java.util.OptionalLong;

/**
 * One start of an upstream and all that follows until the next: its identity, and the time at which
 * it started, as the upstream states it. An upstream may start again under the identity that it
 * had. It then knows nothing of before, and what was known of it is no longer true. Immutable.
 *
 * <p>The order of the starts of one identity:
 *
 * <ul>
 *   <li>A newer start ends the older incarnation at once and for good.
 *   <li>An older start changes nothing: it is a late message, or comes from an instance that lags.
 *   <li>An equal start is the same incarnation; the sequence of its messages decides between them,
 *       and one whose sequence is lower came late.
 *   <li>A start that is not stated is older than any that is. So an instance that does not pass
 *       starts on, or an upstream that states none, neither ends an incarnation whose start is
 *       known nor brings one back that has ended. The first start that is stated takes the place of
 *       what states none, but proves no end: what was under way goes on. Two that state none are
 *       the same incarnation.
 * </ul>
 *
 * <p>Starts are compared with each other only, never with a clock of this system: the clocks of two
 * machines differ by any amount. The price: a start stated too far in the future counts as newer
 * than the true ones that follow. It holds until the departure of the upstream is received and it
 * is forgotten by {@link Registry}; after that any start is taken.
 */
public final class Incarnation {
    /** Less than any start that can be stated. */
    private static final long NOT_STATED = -1;

    private final String mId;
    private final long mStartMillis;

    private Incarnation(String id, long startMillis) {
        mId = id;
        mStartMillis = startMillis;
    }

    /**
     * Creates one whose start is stated.
     *
     * @param id the identity of the upstream
     * @param startMillis its start in Unix milliseconds by its own clock, at least 0
     * @return the incarnation
     * @throws IllegalArgumentException if the start is negative
     */
    public static Incarnation startedAt(String id, long startMillis) {
        if (startMillis < 0) {
            throw new IllegalArgumentException(
                    "the start %d of %s is negative; state Unix milliseconds"
                            .formatted(startMillis, id));
        }
        return new Incarnation(id, startMillis);
    }

    /**
     * Creates one whose start is not stated.
     *
     * @param id the identity of the upstream
     * @return the incarnation
     */
    public static Incarnation ofUnstatedStart(String id) {
        return new Incarnation(id, NOT_STATED);
    }

    /**
     * Returns the identity of the upstream, which later incarnations may have too.
     *
     * @return the identity
     */
    public String id() {
        return mId;
    }

    /**
     * Returns when it started.
     *
     * @return Unix milliseconds by the upstream's own clock; nothing if the start is not stated
     */
    public OptionalLong startMillis() {
        return isStartStated() ? OptionalLong.of(mStartMillis) : OptionalLong.empty();
    }

    /**
     * Tells whether the start is stated.
     *
     * @return true if it is
     */
    public boolean isStartStated() {
        return mStartMillis != NOT_STATED;
    }

    /**
     * Tells whether this takes the place of another incarnation of the same identity.
     *
     * @param other the other incarnation
     * @return true if both have one identity and this start is newer
     */
    public boolean isNewerThan(Incarnation other) {
        return mId.equals(other.mId) && mStartMillis > other.mStartMillis;
    }

    /**
     * Tells whether this start proves that another incarnation of the same identity has ended, so
     * that what was known of that is no longer true.
     *
     * @param other the other incarnation
     * @return true if this start is newer than one that is stated
     */
    public boolean provesEndOf(Incarnation other) {
        return other.isStartStated() && isNewerThan(other);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that
                && mStartMillis == that.mStartMillis
                && mId.equals(that.mId);
    }

    @Override
    public int hashCode() {
        return 31 * mId.hashCode() + Long.hashCode(mStartMillis);
    }

    /** Returns the identity, and the start if it is stated, for logs. */
    @Override
    public String toString() {
        return isStartStated() ? mId + "@" + mStartMillis : mId;
    }
}
