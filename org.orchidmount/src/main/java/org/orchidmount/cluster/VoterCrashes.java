/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.List;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.CrashRecords;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.CrashRegistry;
import org.orchidmount.quarantine.RequestFingerprint;

/**
 * The crash records of a voter, which forwards new ones to all instances and stores them on disk.
 *
 * <p>No consensus is needed, since merging records is independent of their order. A record is lost
 * only if every instance that received it fails, and for voters among these the disk too. Confined
 * to the voter's thread.
 */
final class VoterCrashes implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("crash");

    private final CrashRegistry mRegistry;
    private final VoterLinks mLinks;
    private final Persister<List<CrashRecord>> mPersister;

    /** Loads the records on disk. */
    VoterCrashes(RecordFile<CrashRecord> file, VoterLinks links, MonotonicClock clock) {
        mRegistry = new CrashRegistry(clock);
        mLinks = links;
        mPersister = new Persister<>("crash-disk", file::write, written -> {});
        List<CrashRecord> records = file.read();
        mRegistry.merge(records);
        if (!records.isEmpty()) {
            LOG.info("loaded %d crash records from disk", records.size());
        }
    }

    /** Sends all records to a newly linked peer that supports them. */
    void sendAllTo(Link link, ClusterMessage.Greeting peer) {
        if (!mRegistry.isEmpty() && peer.supports(Capability.CRASH_RECORDS)) {
            link.send(new CrashRecords(mRegistry.all()));
        }
    }

    /** Merges the records of another instance and forwards the changes. */
    void received(CrashRecords records) {
        forward(mRegistry.merge(records.records()));
    }

    /** Returns the records of quarantined requests, which must not be run. */
    List<CrashRecord> quarantined() {
        return mRegistry.quarantined();
    }

    /** Lifts the quarantine of a request; returns false if it is not quarantined. */
    boolean lift(RequestFingerprint fingerprint) {
        if (!mRegistry.find(fingerprint).isQuarantined()) {
            return false;
        }
        LOG.info("quarantine of request %s lifted by an operator", fingerprint);
        forward(mRegistry.clear(fingerprint).stream().toList());
        return true;
    }

    private void forward(List<CrashRecord> changed) {
        if (changed.isEmpty()) {
            return;
        }
        mLinks.sendToAllSupporting(Capability.CRASH_RECORDS, new CrashRecords(changed));
        mPersister.persist(mRegistry.all());
    }

    @Override
    public void close() {
        mPersister.close();
    }
}
