/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.List;
import org.orchidmount.cluster.ClusterMessage.InFlightSequences;
import org.orchidmount.load.InFlightSequence;

/**
 * Batches the sequence announcements that a voter receives and relays them to the entries of its
 * own availability zone.
 *
 * <p>Each entry announces to one voter in every zone, so that an announcement crosses to another
 * zone once, however many entries are there. The announcing entry applies its own announcements
 * locally. Confined to the voter's thread.
 */
final class SequenceRelay {
    /**
     * Batching delay, which keeps the number of frames low when many entries announce: a quarter of
     * the 30 ms after which an entry relies on all others having received its announcement.
     */
    private static final long BATCH_MILLIS = 8;

    private final VoterLinks mLinks;
    private final TaskThread mTasks;
    private final List<InFlightSequence> mBatch = new ArrayList<>();

    SequenceRelay(VoterLinks links, TaskThread tasks) {
        mLinks = links;
        mTasks = tasks;
    }

    void add(InFlightSequences announced) {
        if (mBatch.isEmpty()) {
            mTasks.after(BATCH_MILLIS, this::send);
        }
        mBatch.addAll(announced.sequences());
    }

    private void send() {
        mLinks.sendToNearEntries(new InFlightSequences(mBatch));
        mBatch.clear();
    }
}
