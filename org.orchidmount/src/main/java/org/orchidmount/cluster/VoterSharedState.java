/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.EvidenceDigestMessage;
import org.orchidmount.cluster.ClusterMessage.EvidenceReportMessage;
import org.orchidmount.cluster.ClusterMessage.InFlightSequences;
import org.orchidmount.cluster.ClusterMessage.WaitingRequestsMessage;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.EvidenceReport;
import org.orchidmount.evidence.ReportMerger;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.waiting.WaitingRequest;

/**
 * The part of a voter that passes on what entries share: it relays sequences and waiting requests,
 * and merges evidence.
 *
 * <p>Digests and waiting requests are sent to the near entries that support them. A waiting request
 * that is announced several times within a batch is relayed once, in its latest state. Nothing is
 * sent unless an entry sends first. Without a merger, reports are ignored. Confined to the voter's
 * thread.
 */
final class VoterSharedState implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("shared-state");

    /**
     * Batching delay of waiting requests, the same as that of sequences: an entry that has placed a
     * request announces both within the same 30 ms.
     */
    private static final long BATCH_MILLIS = 8;

    /** Interval of digests while no failure is new. */
    private static final long DIGEST_INTERVAL_MILLIS = 1_000;

    private final VoterLinks mLinks;
    private final TaskThread mTasks;
    private final MonotonicClock mClock;
    private final SequenceRelay mSequences;
    private final DigestPacer mPacer = new DigestPacer();

    /** Waiting requests to be relayed by their id, in order of their announcement. */
    private final Map<String, WaitingRequest> mBatch = new LinkedHashMap<>();

    /** Merges reports; null if reports are ignored. */
    private ReportMerger mMerger;

    private boolean mIsDigestScheduled;
    private long mReports;
    private long mDigests;
    private long mDigestBytes;
    private long mRelayed;

    VoterSharedState(VoterLinks links, TaskThread tasks, MonotonicClock clock) {
        mLinks = links;
        mTasks = tasks;
        mClock = clock;
        mSequences = new SequenceRelay(links, tasks);
    }

    /** Merges reports from now on; begins with the registrations held. */
    void mergeWith(ReportMerger merger, List<Registration> registered) {
        if (mMerger == null) {
            mTasks.every(DIGEST_INTERVAL_MILLIS, this::sendPeriodicDigest);
        }
        mMerger = merger;
        registered.forEach(this::onRegistration);
    }

    void onRegistration(Registration registration) {
        if (mMerger != null) {
            mMerger.onRegistration(registration.incarnation());
        }
    }

    /** Handles a message of shared state; returns false for other messages. */
    boolean received(Link link, ClusterMessage message) {
        if (message instanceof InFlightSequences announced) {
            mSequences.add(announced);
        } else if (message instanceof WaitingRequestsMessage waiting) {
            relay(waiting.requests());
        } else if (message instanceof EvidenceReportMessage evidence) {
            mLinks.entry(link).ifPresent(entry -> merge(entry, evidence.report()));
        } else {
            return false;
        }
        return true;
    }

    // ---- Waiting requests

    private void relay(List<WaitingRequest> requests) {
        if (mBatch.isEmpty() && !requests.isEmpty()) {
            mTasks.after(BATCH_MILLIS, this::sendBatch);
        }
        for (WaitingRequest request : requests) {
            mBatch.remove(request.id());
            mBatch.put(request.id(), request);
        }
    }

    private void sendBatch() {
        List<WaitingRequest> batch = new ArrayList<>(mBatch.values());
        mBatch.clear();
        mRelayed += batch.size();
        int size = SharedStateCodec.MAX_WAITING_REQUESTS;
        for (int from = 0; from < batch.size(); from += size) {
            List<WaitingRequest> part = batch.subList(from, Math.min(batch.size(), from + size));
            send(new Frame(new WaitingRequestsMessage(part)));
        }
    }

    private void send(Frame frame) {
        mLinks.sendToNearEntriesSupporting(Capability.SHARED_STATE, frame);
    }

    // ---- Evidence

    private void merge(VoterLinks.EntryPeer reporter, EvidenceReport report) {
        if (mMerger == null) {
            return;
        }
        mReports++;
        mMerger.merge(reporter.node(), reporter.zone(), report, mClock.nanoTime());
        scheduleDigestOfNewFailures();
    }

    private void scheduleDigestOfNewFailures() {
        if (mIsDigestScheduled || !mMerger.hasNewFailures()) {
            return;
        }
        mIsDigestScheduled = true;
        // Rounded up, so that the digest is not sent before the pacer allows it.
        long delayMillis = mPacer.delay(mClock.nanoTime()).plusNanos(999_999).toMillis();
        mTasks.after(
                delayMillis,
                () -> {
                    mIsDigestScheduled = false;
                    sendDigest();
                    scheduleDigestOfNewFailures();
                });
    }

    private void sendPeriodicDigest() {
        if (mPacer.delay(mClock.nanoTime()).isZero()) {
            sendDigest();
        }
    }

    private void sendDigest() {
        long nowNanos = mClock.nanoTime();
        Optional<EvidenceDigest> digest = mMerger.digest(nowNanos);
        if (digest.isEmpty()) {
            mPacer.sent(nowNanos, 0);
            return;
        }
        Frame frame = new Frame(new EvidenceDigestMessage(digest.get()));
        int bytes = frame.bytes().length;
        mPacer.sent(nowNanos, bytes);
        mDigests++;
        mDigestBytes += bytes;
        send(frame);
    }

    /** Logs what was sent. Called after the voter's thread has ended. */
    @Override
    public void close() {
        LOG.info(
                "merged %d reports, sent %d digests of %d bytes, relayed %d waiting requests",
                mReports, mDigests, mDigestBytes, mRelayed);
    }
}
