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
 * Announcements of sequences that a voter has received and passes on to the entries of its own
 * availability zone. Each entry announces to a voter in every zone, so that an announcement crosses
 * to another zone once, however many entries are there. The sender takes its own as known. Confined
 * to the voter's thread.
 */
final class GatheredSequences {
    /**
     * Announcements are gathered this long, so that many entries cost few frames: a quarter of the
     * 30 ms after which an entry counts on all others to have received its own.
     */
    private static final long GATHER_MILLIS = 8;

    private final VoterLinks mLinks;
    private final TaskThread mTasks;
    private final List<InFlightSequence> mGathered = new ArrayList<>();

    GatheredSequences(VoterLinks links, TaskThread tasks) {
        mLinks = links;
        mTasks = tasks;
    }

    void add(InFlightSequences announced) {
        if (mGathered.isEmpty()) {
            mTasks.after(GATHER_MILLIS, this::send);
        }
        mGathered.addAll(announced.sequences());
    }

    private void send() {
        mLinks.sendToNearEntries(new InFlightSequences(mGathered));
        mGathered.clear();
    }
}
