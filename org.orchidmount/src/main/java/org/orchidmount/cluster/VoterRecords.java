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
 * What a voter keeps and passes on without agreement, because its records merge to the same in any
 * order: crashes and limits of upstreams. Confined to the voter's thread.
 */
final class VoterRecords implements AutoCloseable {
    private final VoterCrashes mCrashes;
    private final VoterLimits mLimits;

    /** Creates it with what is on disk. */
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

    /** Greets a peer with all records. */
    void greet(Link link, Greeting peer) {
        mCrashes.greet(link, peer);
        mLimits.greet(link, peer);
    }

    /** Takes a message of another instance if it carries records. */
    void received(ClusterMessage message) {
        if (message instanceof CrashRecords crashes) {
            mCrashes.received(crashes);
        } else if (message instanceof UpstreamLimitRecords limits) {
            mLimits.received(limits);
        }
    }

    /** Forgets what holds only while its upstream runs. */
    void forgetEnded(Registry registry) {
        mLimits.forgetEnded(registry);
    }

    @Override
    public void close() {
        mCrashes.close();
        mLimits.close();
    }
}
