/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

/**
 * How many upstreams in a row have crashed while they ran a request. Immutable.
 *
 * <p>The rule: a request is quarantined after {@link #QUARANTINE_AFTER} crashes at the same place
 * of its output, or {@link #QUARANTINE_AFTER_ANYWHERE} at any. Each run must have begun when the
 * crashes before were known. So a request that is at work when an upstream crashes for another
 * reason is cleared or spared:
 *
 * <ul>
 *   <li>a run to its end clears it; a request that crashes its upstreams never has one;
 *   <li>crashes that others cause come at places that have nothing to do with each other, and
 *       mostly not before the first event;
 *   <li>runs that were under way at the same moment count once, however many upstreams a wider
 *       failure takes.
 * </ul>
 *
 * <p>Records of one request merge to the one with the higher epoch, within an epoch to the one with
 * more crashes in all, then with more at one place, then to the one that got further. That is
 * commutative, associative and idempotent, so instances that have exchanged theirs in any order
 * hold the same.
 *
 * @param fingerprint the request
 * @param epoch rises each time the request is cleared
 * @param crashes the crashes in a row since
 * @param crashesHere the latest of them that came at the same place
 * @param position that place: the last event of the output; 0 for none
 */
public record CrashRecord(
        RequestFingerprint fingerprint, long epoch, int crashes, int crashesHere, long position) {
    /** Crashes at one place after which a request is not run any more; the pages allow three. */
    public static final int QUARANTINE_AFTER = 3;

    /**
     * Crashes at any places after which it is not run any more: in simulated days no request that
     * crashes nothing comes to so many.
     */
    public static final int QUARANTINE_AFTER_ANYWHERE = 6;

    /** Events by which two runs may differ that crash at the same place. */
    private static final long POSITION_MARGIN = 1;

    /** The share of its position by which a run may differ, as events hold several tokens. */
    private static final long POSITION_MARGIN_SHARE = 16;

    /** Checks the ranges. */
    public CrashRecord {
        if (epoch < 0 || crashes < 0 || crashesHere < 0 || position < 0) {
            throw new IllegalArgumentException(
                    "a crash record of epoch %d, %d crashes, %d of them at position %d; none may be"
                                    .formatted(epoch, crashes, crashesHere, position)
                            + " negative");
        }
    }

    /**
     * Makes the record of a request of which no crash is known.
     *
     * @param fingerprint the request
     * @return the record
     */
    public static CrashRecord none(RequestFingerprint fingerprint) {
        return new CrashRecord(fingerprint, 0, 0, 0, 0);
    }

    /**
     * Counts the crash of an upstream that ran the request. This record is the one that was known
     * when the run began.
     *
     * @param from where the run went on: the last event that the caller had; 0 for none
     * @param at how far it had got
     * @return the record with it
     */
    public CrashRecord afterCrash(long from, long at) {
        int here = isHere(from, at) ? crashesHere + 1 : 1;
        return new CrashRecord(fingerprint, epoch, crashes + 1, here, at);
    }

    /**
     * One that goes on where the crash before was is near that place from its beginning, so it is
     * at the same place only if it has got no further at all.
     */
    private boolean isHere(long from, long at) {
        if (from > 0) {
            return at == from;
        }
        long margin = POSITION_MARGIN + position / POSITION_MARGIN_SHARE;
        return Math.abs(at - position) <= margin;
    }

    /**
     * Clears the request.
     *
     * @return the record
     */
    public CrashRecord cleared() {
        return new CrashRecord(fingerprint, epoch + 1, 0, 0, 0);
    }

    /**
     * Tells whether this takes the place of another record of the request.
     *
     * @param other the other record
     * @return true if this is newer
     */
    public boolean isNewerThan(CrashRecord other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch;
        }
        if (crashes != other.crashes) {
            return crashes > other.crashes;
        }
        return crashesHere == other.crashesHere
                ? position > other.position
                : crashesHere > other.crashesHere;
    }

    /**
     * Tells whether the request is suspected: an upstream has crashed under it.
     *
     * @return false if it is cleared
     */
    public boolean isSuspect() {
        return crashes > 0;
    }

    /**
     * Tells whether the request must not be run.
     *
     * @return true if too many upstreams have crashed under it
     */
    public boolean isQuarantined() {
        return crashesHere >= QUARANTINE_AFTER || crashes >= QUARANTINE_AFTER_ANYWHERE;
    }
}
