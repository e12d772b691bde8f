/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.util.Comparator;

/**
 * The place of a state in the order of all states: the term of the leader that made it, then its
 * number. A leader only makes states that follow the newest one of a quorum, so a later place
 * always contains what was committed before.
 *
 * @param term the term of the leader that made the state
 * @param index the number of the state
 */
public record EntryId(long term, long index) implements Comparable<EntryId> {
    /** The place before all states. */
    public static final EntryId NONE = new EntryId(0, 0);

    private static final Comparator<EntryId> ORDER =
            Comparator.comparingLong(EntryId::term).thenComparingLong(EntryId::index);

    // Written out, because the compiler's versions are linked at run time, early in each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof EntryId that && term == that.term && index == that.index;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(term) + Long.hashCode(index);
    }

    @Override
    public String toString() {
        return term + "/" + index;
    }

    @Override
    public int compareTo(EntryId other) {
        return ORDER.compare(this, other);
    }

    /**
     * Tells whether this place is not before another.
     *
     * @param other the other place
     * @return true if it is the same or later
     */
    public boolean reaches(EntryId other) {
        return compareTo(other) >= 0;
    }
}
