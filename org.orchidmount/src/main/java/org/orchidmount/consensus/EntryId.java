/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.util.Comparator;

/**
 * The id of a replicated entry, ordered by term, then by index. A leader is elected only if its
 * entry is at least as new as those of a quorum, so its new entries supersede all entries committed
 * before.
 *
 * @param term the term of the leader that appended the entry
 * @param index the sequence number of the entry
 */
public record EntryId(long term, long index) implements Comparable<EntryId> {
    /** The id that precedes every entry. */
    public static final EntryId NONE = new EntryId(0, 0);

    private static final Comparator<EntryId> ORDER =
            Comparator.comparingLong(EntryId::term).thenComparingLong(EntryId::index);

    // Explicit, since a record's generated methods are linked at run time and slow down the start.
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
     * Returns whether this id is equal to or newer than another.
     *
     * @param other the id to compare with
     * @return true if this id does not precede the other
     */
    public boolean isAtLeast(EntryId other) {
        return compareTo(other) >= 0;
    }
}
