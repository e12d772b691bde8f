/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

/**
 * Number of consecutive upstream crashes while a request was running. Immutable.
 *
 * <p>A request is quarantined after {@link #QUARANTINE_AFTER} crashes at the same position of its
 * output, or after {@link #QUARANTINE_AFTER_TOTAL} at any positions. Each of these runs must have
 * begun when the previous crashes were already known. A request that is running while an upstream
 * crashes for another reason is therefore cleared or spared:
 *
 * <ul>
 *   <li>a completed run clears it, and a request that crashes its upstreams never completes;
 *   <li>crashes with another cause occur at unrelated positions, and mostly not before the first
 *       event;
 *   <li>runs that were in progress at the same time count once, however many upstreams a larger
 *       failure affects.
 * </ul>
 *
 * <p>Of two records of a request the merge keeps the one with the higher epoch, within an epoch the
 * one with more crashes in total, then with more crashes at one position, then with the higher
 * position. The merge is commutative, associative and idempotent, so instances that have exchanged
 * their records in any order hold the same ones.
 *
 * @param fingerprint fingerprint of the request
 * @param epoch number that increases each time the request is cleared
 * @param crashes consecutive crashes in this epoch
 * @param crashesAtPosition the most recent of these crashes that occurred at the same position
 * @param position that position: the number of the last event of the output; 0 for none
 */
public record CrashRecord(
        RequestFingerprint fingerprint,
        long epoch,
        int crashes,
        int crashesAtPosition,
        long position) {
    /**
     * Crashes at one position after which a request is not run again; the specification allows
     * three.
     */
    public static final int QUARANTINE_AFTER = 3;

    /**
     * Crashes at any positions after which a request is not run again. In simulated days of traffic
     * no harmless request reaches this number.
     */
    public static final int QUARANTINE_AFTER_TOTAL = 6;

    /** Events by which two runs that crash at the same position may differ. */
    private static final long POSITION_MARGIN = 1;

    /**
     * Divisor of the position for the additional margin of longer outputs, needed because an event
     * may hold several tokens.
     */
    private static final long POSITION_MARGIN_DIVISOR = 16;

    /**
     * Creates a record.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public CrashRecord {
        if (epoch < 0 || crashes < 0 || crashesAtPosition < 0 || position < 0) {
            throw new IllegalArgumentException(
                    "invalid crash record: epoch %d, %d crashes, %d of them at position %d; no"
                                    .formatted(epoch, crashes, crashesAtPosition, position)
                            + " number may be negative");
        }
    }

    /**
     * Creates the record of a request without known crashes.
     *
     * @param fingerprint fingerprint of the request
     * @return the record
     */
    public static CrashRecord none(RequestFingerprint fingerprint) {
        return new CrashRecord(fingerprint, 0, 0, 0, 0);
    }

    /**
     * Adds the crash of an upstream that was running the request. This record must be the one that
     * was known when the run began.
     *
     * @param resumePosition position at which the run resumed: the last event that the caller had;
     *     0 for none
     * @param crashPosition position that the run reached
     * @return the record that includes the crash
     */
    public CrashRecord afterCrash(long resumePosition, long crashPosition) {
        int atPosition = isSamePosition(resumePosition, crashPosition) ? crashesAtPosition + 1 : 1;
        return new CrashRecord(fingerprint, epoch, crashes + 1, atPosition, crashPosition);
    }

    /**
     * A run that resumes at the position of the previous crash is close to it from its beginning,
     * so it crashes at the same position only if it made no progress at all.
     */
    private boolean isSamePosition(long resumePosition, long crashPosition) {
        if (resumePosition > 0) {
            return crashPosition == resumePosition;
        }
        long margin = POSITION_MARGIN + position / POSITION_MARGIN_DIVISOR;
        return Math.abs(crashPosition - position) <= margin;
    }

    /**
     * Clears the request.
     *
     * @return record of the next epoch, without crashes
     */
    public CrashRecord cleared() {
        return new CrashRecord(fingerprint, epoch + 1, 0, 0, 0);
    }

    /**
     * Returns whether this record replaces another record of the request.
     *
     * @param other the other record
     * @return true if this one is newer
     */
    public boolean isNewerThan(CrashRecord other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch;
        }
        if (crashes != other.crashes) {
            return crashes > other.crashes;
        }
        return crashesAtPosition == other.crashesAtPosition
                ? position > other.position
                : crashesAtPosition > other.crashesAtPosition;
    }

    /**
     * Returns whether the request is suspected, that is, an upstream has crashed while running it.
     *
     * @return false if it has been cleared since
     */
    public boolean isSuspect() {
        return crashes > 0;
    }

    /**
     * Returns whether the request must not be run.
     *
     * @return true if too many upstreams have crashed while running it
     */
    public boolean isQuarantined() {
        return crashesAtPosition >= QUARANTINE_AFTER || crashes >= QUARANTINE_AFTER_TOTAL;
    }
}
