/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.nio.file.Path;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.CrashRecords;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.UpstreamLimitRecords;
import org.orchidmount.membership.Registry;

/**
 * Records that a voter holds and distributes without consensus, since merging them is independent
 * of their order: crash records and upstream limits. Confined to the voter's thread.
 */
final class VoterRecords implements AutoCloseable {
    private final VoterCrashes mCrashes;
    private final VoterLimits mLimits;

    /** Loads the records on disk. */
    VoterRecords(String instance, Path folder, VoterLinks links, MonotonicClock clock)
            throws IOException {
        mCrashes = new VoterCrashes(RecordFile.crashes(folder), links, clock);
        mLimits = new VoterLimits(instance, RecordFile.limits(folder), links, clock);
    }

    VoterCrashes crashes() {
        return mCrashes;
    }

    VoterLimits limits() {
        return mLimits;
    }

    /** Sends all records to a newly linked peer. */
    void sendAllTo(Link link, Greeting peer) {
        mCrashes.sendAllTo(link, peer);
        mLimits.sendAllTo(link, peer);
    }

    /** Merges the records of a message; ignores other messages. */
    void received(ClusterMessage message) {
        if (message instanceof CrashRecords crashes) {
            mCrashes.received(crashes);
        } else if (message instanceof UpstreamLimitRecords limits) {
            mLimits.received(limits);
        }
    }

    /** Removes records that apply only while their upstream runs. */
    void forgetEnded(Registry registry) {
        mLimits.forgetEnded(registry);
    }

    @Override
    public void close() {
        mCrashes.close();
        mLimits.close();
    }
}
