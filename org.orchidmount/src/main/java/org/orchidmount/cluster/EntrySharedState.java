/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.EvidenceDigestMessage;
import org.orchidmount.cluster.ClusterMessage.EvidenceReportMessage;
import org.orchidmount.cluster.ClusterMessage.WaitingRequestsMessage;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.EvidenceReceiver;
import org.orchidmount.evidence.EvidenceSource;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.waiting.WaitingReceiver;
import org.orchidmount.waiting.WaitingRequest;

/**
 * The part of an entry that sends reports and waiting requests to voters, and hands on what it
 * receives from them.
 *
 * <p>While shared state is not in force, the source is not queried, nothing is sent, and what is
 * received is dropped. While no voter can be reached, reports are drained and lost: evidence that
 * is reported late would count as new. Waiting requests of this entry that voters relay back to it
 * are not handed on. Confined to the entry's thread, except {@link #isInForce}, which is
 * thread-safe.
 */
final class EntrySharedState implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("shared-state");

    /** Interval of reports while nothing is urgent. */
    private static final long REPORT_INTERVAL_MILLIS = 500;

    /**
     * Time for which an own waiting request is recognized after its last announcement; far longer
     * than the way to a voter and back.
     */
    private static final Duration OWN_RETENTION = Duration.ofSeconds(2);

    private final Consumer<ClusterMessage> mSender;
    private final TaskThread mTasks;
    private final MonotonicClock mClock;

    /** Time of the last announcement of each own waiting request, in order of that time. */
    private final Map<String, Long> mAnnouncedNanos = new LinkedHashMap<>();

    /** The availability zones known so far; at most a few. */
    private final Set<String> mZones = ConcurrentHashMap.newKeySet();

    private Connections mConnections;
    private volatile boolean mIsInForce;
    private long mReports;
    private long mAnnouncements;
    private long mDigests;
    private long mWaiting;

    /** The parts of the entry that produce and use shared state. */
    private record Connections(
            SharedStateGate gate,
            EvidenceSource source,
            EvidenceReceiver evidence,
            WaitingReceiver waiting) {}

    /**
     * Creates the part, which does nothing until {@link #share} is called.
     *
     * @param zone the entry's availability zone
     * @param sender sends a message to one voter in each availability zone
     * @param tasks the entry's thread
     * @param clock the monotonic clock
     */
    EntrySharedState(
            String zone, Consumer<ClusterMessage> sender, TaskThread tasks, MonotonicClock clock) {
        mZones.add(zone);
        mSender = sender;
        mTasks = tasks;
        mClock = clock;
    }

    /** Connects the parts of the entry that produce and use shared state. */
    void share(
            SharedStateGate gate,
            EvidenceSource source,
            EvidenceReceiver evidence,
            WaitingReceiver waiting) {
        mConnections = new Connections(gate, source, evidence, waiting);
        source.onUrgent(() -> mTasks.post(this::reportIfUrgent));
        mTasks.every(REPORT_INTERVAL_MILLIS, this::tick);
    }

    /**
     * Determines anew whether shared state is in force.
     *
     * @param table the route table in force; null if there is none yet
     * @param entries number of entries of the site
     */
    void update(RouteTable table, int entries) {
        boolean isInForce =
                mConnections != null
                        && table != null
                        && mConnections.gate().isInForce(table, entries);
        if (isInForce != mIsInForce) {
            mIsInForce = isInForce;
            mAnnouncedNanos.clear();
            LOG.info(
                    "shared state is %s with %d entries",
                    isInForce ? "in force" : "no longer in force", entries);
        }
    }

    boolean isInForce() {
        return mIsInForce;
    }

    /** Records the availability zone of a voter; empty if it has not stated one. */
    void onZone(String zone) {
        if (!zone.isEmpty()) {
            mZones.add(zone);
        }
    }

    int zones() {
        return mZones.size();
    }

    private void tick() {
        long nowNanos = mClock.nanoTime();
        mAnnouncedNanos
                .values()
                .removeIf(announcedNanos -> nowNanos - announcedNanos > OWN_RETENTION.toNanos());
        if (mIsInForce) {
            report();
        }
    }

    private void reportIfUrgent() {
        if (mIsInForce && mConnections.source().isUrgent()) {
            report();
        }
    }

    private void report() {
        mConnections
                .source()
                .drain()
                .ifPresent(
                        report -> {
                            mReports++;
                            mSender.accept(new EvidenceReportMessage(report));
                        });
        if (mConnections.source().isUrgent()) {
            mTasks.post(this::reportIfUrgent);
        }
    }

    /** Announces the state of a waiting request of this entry. */
    void announce(WaitingRequest request) {
        if (!mIsInForce) {
            return;
        }
        mAnnouncements++;
        mAnnouncedNanos.remove(request.id());
        mAnnouncedNanos.put(request.id(), mClock.nanoTime());
        mSender.accept(new WaitingRequestsMessage(List.of(request)));
    }

    /**
     * Handles a message of shared state; returns false for other messages.
     *
     * @param voter address of the sender; null if it has not sent its greeting
     */
    boolean received(HostPort voter, ClusterMessage message) {
        if (message instanceof WaitingRequestsMessage waiting) {
            onWaiting(waiting.requests());
        } else if (message instanceof EvidenceDigestMessage evidence) {
            onDigest(voter, evidence.digest());
        } else {
            return false;
        }
        return true;
    }

    private void onDigest(HostPort voter, EvidenceDigest digest) {
        if (mIsInForce && voter != null && !digest.upstreams().isEmpty()) {
            mDigests++;
            mConnections.evidence().onDigest(voter.toString(), digest);
        }
    }

    private void onWaiting(List<WaitingRequest> requests) {
        if (!mIsInForce) {
            return;
        }
        List<WaitingRequest> others =
                requests.stream()
                        .filter(request -> !mAnnouncedNanos.containsKey(request.id()))
                        .toList();
        if (!others.isEmpty()) {
            mWaiting += others.size();
            mConnections.waiting().onWaiting(others);
        }
    }

    /** Logs what was sent and received. Called after the entry's thread has ended. */
    @Override
    public void close() {
        if (mConnections != null) {
            LOG.info(
                    "sent %d reports and %d waiting requests, received %d digests and %d waiting"
                            + " requests",
                    mReports, mAnnouncements, mDigests, mWaiting);
        }
    }
}
