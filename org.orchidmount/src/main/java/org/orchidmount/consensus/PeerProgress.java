/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/** What a leader knows of another replica. Confined to the leader's thread. */
final class PeerProgress {
    /** Who and where it is. */
    Member mMember;

    /** The place of the state on its disk. */
    EntryId mDurable = EntryId.NONE;

    /** The place of the state that was last sent to it. */
    EntryId mSent = EntryId.NONE;

    /** The newest round of heartbeats that it has answered. */
    long mRound;

    /** When it last answered. */
    long mHeardNanos;

    /** When a state was last sent to it. */
    long mSentNanos;
}
