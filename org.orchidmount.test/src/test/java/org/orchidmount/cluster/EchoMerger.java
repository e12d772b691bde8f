/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.EvidenceReport;
import org.orchidmount.evidence.ReportMerger;
import org.orchidmount.evidence.UpstreamEvidence;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.evidence.UpstreamObservations;
import org.orchidmount.membership.Incarnation;

/**
 * Puts each report into the next digest, with the reporter as the only witness. Confined to the
 * voter's thread, except for the counts.
 */
final class EchoMerger implements ReportMerger {
    private final AtomicInteger mReports = new AtomicInteger();
    private final Set<String> mReporters = ConcurrentHashMap.newKeySet();
    private final Queue<Incarnation> mRegistered = new ConcurrentLinkedQueue<>();
    private final List<UpstreamEvidence> mChanged = new ArrayList<>();

    @Override
    public void merge(String instance, String zone, EvidenceReport report, long nowNanos) {
        mReports.incrementAndGet();
        mReporters.add(instance);
        for (UpstreamObservations observed : report.observations()) {
            mChanged.add(
                    new UpstreamEvidence(
                            observed.upstream(),
                            List.of(new Witness(instance, zone, 0)),
                            UpstreamEvidence.NEVER,
                            1,
                            0,
                            0));
        }
    }

    @Override
    public void onRegistration(Incarnation upstream) {
        mRegistered.add(upstream);
    }

    /** Returns whether an upstream was registered. */
    boolean knows(String id) {
        return mRegistered.stream().anyMatch(upstream -> upstream.id().equals(id));
    }

    @Override
    public boolean hasNewFailures() {
        return !mChanged.isEmpty();
    }

    @Override
    public Optional<EvidenceDigest> digest(long nowNanos) {
        if (mChanged.isEmpty()) {
            return Optional.empty();
        }
        EvidenceDigest digest = new EvidenceDigest(mChanged);
        mChanged.clear();
        return Optional.of(digest);
    }

    /** Returns the number of reports merged so far. */
    int reports() {
        return mReports.get();
    }

    /** Returns whether a report of an entry was merged. */
    boolean hasReported(String instance) {
        return mReporters.contains(instance);
    }
}
