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
 * Records that an entry holds and distributes without consensus: crash records and upstream limits.
 *
 * <p>Every record is sent to every voter that supports its kind, since each one matters and there
 * are few. Confined to the entry's thread, except for the two collections, which are thread-safe.
 */
final class EntryRecords {
    private final CrashRegistry mCrashes;
    private final UpstreamLimits mLimits;
    private final Map<Link, Greeting> mVoters = new HashMap<>();

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

    /** Registers a linked voter and sends it all records. */
    void linked(Link voter, Greeting greeting) {
        mVoters.put(voter, greeting);
        if (!mCrashes.isEmpty()) {
            sendIfSupported(voter, Capability.CRASH_RECORDS, new CrashRecords(mCrashes.all()));
        }
        if (!mLimits.isEmpty()) {
            sendIfSupported(
                    voter, Capability.UPSTREAM_LIMITS, new UpstreamLimitRecords(mLimits.all()));
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
        mVoters.keySet().forEach(voter -> sendIfSupported(voter, capability, message));
    }

    private void sendIfSupported(Link voter, Capability capability, ClusterMessage message) {
        if (mVoters.get(voter).supports(capability)) {
            voter.send(message);
        }
    }

    /** Returns whether every linked voter supports a capability. */
    boolean allVotersSupport(Capability capability) {
        return mVoters.values().stream().allMatch(voter -> voter.supports(capability));
    }

    /** Merges the records of a message; ignores other messages. */
    void received(ClusterMessage message) {
        if (message instanceof CrashRecords crashes) {
            mCrashes.merge(crashes.records());
        } else if (message instanceof UpstreamLimitRecords limits) {
            mLimits.merge(limits.limits());
        }
    }
}
