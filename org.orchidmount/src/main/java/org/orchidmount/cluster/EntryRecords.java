/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.CrashRecords;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.UpstreamLimitRecords;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.pacing.UpstreamLimits;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.CrashRegistry;

/**
 * What an entry keeps and tells without agreement: crashes and limits of upstreams. Each is sent to
 * every voter, since each record matters and there are few; a voter that takes none is sent none.
 * Confined to the entry's thread, but for what it holds, which is thread-safe.
 */
final class EntryRecords {
    private final CrashRegistry mCrashes;
    private final UpstreamLimits mLimits;
    private final Map<Link, Greeting> mVoters = new HashMap<>();

    /** Creates it without any records. */
    EntryRecords(String instance, MonotonicClock clock) {
        mCrashes = new CrashRegistry(clock);
        mLimits = new UpstreamLimits(instance, clock);
    }

    CrashRegistry crashes() {
        return mCrashes;
    }

    UpstreamLimits limits() {
        return mLimits;
    }

    /** Greets a voter with all records. */
    void linked(Link voter, Greeting greeting) {
        mVoters.put(voter, greeting);
        if (!mCrashes.isEmpty()) {
            sendIfKnown(voter, Capability.CRASH_RECORDS, new CrashRecords(mCrashes.all()));
        }
        if (!mLimits.isEmpty()) {
            sendIfKnown(voter, Capability.UPSTREAM_LIMITS, new UpstreamLimitRecords(mLimits.all()));
        }
    }

    void lost(Link voter) {
        mVoters.remove(voter);
    }

    void announce(CrashRecord record) {
        sendToAll(Capability.CRASH_RECORDS, new CrashRecords(List.of(record)));
    }

    void announce(UpstreamLimit limit) {
        sendToAll(Capability.UPSTREAM_LIMITS, new UpstreamLimitRecords(List.of(limit)));
    }

    private void sendToAll(Capability capability, ClusterMessage message) {
        mVoters.keySet().forEach(voter -> sendIfKnown(voter, capability, message));
    }

    private void sendIfKnown(Link voter, Capability capability, ClusterMessage message) {
        if (mVoters.get(voter).knows(capability)) {
            voter.send(message);
        }
    }

    /** Tells whether each voter that is linked understands something. */
    boolean allVotersKnow(Capability capability) {
        return mVoters.values().stream().allMatch(voter -> voter.knows(capability));
    }

    /** Takes a message of a voter if it carries records. */
    void received(ClusterMessage message) {
        if (message instanceof CrashRecords crashes) {
            mCrashes.merge(crashes.records());
        } else if (message instanceof UpstreamLimitRecords limits) {
            mLimits.merge(limits.limits());
        }
    }
}
