/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/** The replication progress of a peer, as known to the leader. Confined to the replica's thread. */
final class PeerProgress {
    Member mMember;

    /** The id of the newest entry known to be synced to its disk. */
    EntryId mDurable = EntryId.NONE;

    /** The id of the entry whose state was last sent to it. */
    EntryId mSent = EntryId.NONE;

    /** The newest heartbeat round that it has acknowledged. */
    long mAckedRound;

    /** Monotonic time of its last reply. */
    long mLastReplyNanos;

    /** Monotonic time at which a state was last sent to it. */
    long mSentNanos;
}
