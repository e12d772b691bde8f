/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

import java.util.OptionalLong;

/**
 * One lifetime of an upstream, from a start to the next: its identity, and the start time that the
 * upstream states. An upstream may restart under the same identity. It has then lost its state, and
 * what was known of it no longer holds. Immutable.
 *
 * <p>Order of the incarnations of one identity:
 *
 * <ul>
 *   <li>A newer start ends the older incarnation immediately and permanently.
 *   <li>An older start is ignored: it comes from a delayed message, or from an instance that lags.
 *   <li>Equal starts denote the same incarnation; its messages are ordered by their sequence
 *       numbers, and one with a lower sequence number is late.
 *   <li>An unstated start is older than any stated one. An instance that does not forward starts,
 *       or an upstream that states none, therefore neither ends an incarnation with a known start
 *       nor revives one that has ended. The first stated start replaces an unstated one but does
 *       not prove that an incarnation ended, so work in progress continues. Two unstated starts
 *       denote the same incarnation.
 * </ul>
 *
 * <p>Starts are only compared with each other, never with a local clock, since the clocks of two
 * machines may differ by any amount. As a consequence, a start that is stated too far in the future
 * counts as newer than the correct ones that follow, until the departure of the upstream has been
 * received and {@link Registry} has removed it; after that any start is accepted.
 */
public final class Incarnation {
    /** Sorts below every start that can be stated. */
    private static final long NOT_STATED = -1;

    private final String mId;
    private final long mStartMillis;

    private Incarnation(String id, long startMillis) {
        mId = id;
        mStartMillis = startMillis;
    }

    /**
     * Creates an incarnation with a stated start.
     *
     * @param id identity of the upstream
     * @param startMillis start in Unix milliseconds by the upstream's clock, at least 0
     * @return the incarnation
     * @throws IllegalArgumentException if the start is negative
     */
    public static Incarnation startedAt(String id, long startMillis) {
        if (startMillis < 0) {
            throw new IllegalArgumentException(
                    "invalid start %d of upstream %s: expected Unix milliseconds, at least 0"
                            .formatted(startMillis, id));
        }
        return new Incarnation(id, startMillis);
    }

    /**
     * Creates an incarnation without a stated start.
     *
     * @param id identity of the upstream
     * @return the incarnation
     */
    public static Incarnation ofUnknownStart(String id) {
        return new Incarnation(id, NOT_STATED);
    }

    /**
     * Returns the identity of the upstream, which its later incarnations may share.
     *
     * @return the identity
     */
    public String id() {
        return mId;
    }

    /**
     * Returns the start time.
     *
     * @return Unix milliseconds by the upstream's clock; empty if the start is not stated
     */
    public OptionalLong startMillis() {
        return isStartKnown() ? OptionalLong.of(mStartMillis) : OptionalLong.empty();
    }

    /**
     * Returns whether the upstream has stated its start.
     *
     * @return true if the start is known
     */
    public boolean isStartKnown() {
        return mStartMillis != NOT_STATED;
    }

    /**
     * Returns whether this incarnation replaces another one of the same identity.
     *
     * @param other the other incarnation
     * @return true if both share an identity and this start is newer
     */
    public boolean isNewerThan(Incarnation other) {
        return mId.equals(other.mId) && mStartMillis > other.mStartMillis;
    }

    /**
     * Returns whether this start proves that another incarnation of the same identity has ended, so
     * that what was known of it no longer holds.
     *
     * @param other the other incarnation
     * @return true if the other start is stated and this one is newer
     */
    public boolean supersedes(Incarnation other) {
        return other.isStartKnown() && isNewerThan(other);
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

    /** Returns the identity, followed by the start if it is stated, for logs. */
    @Override
    public String toString() {
        return isStartKnown() ? mId + "@" + mStartMillis : mId;
    }
}
