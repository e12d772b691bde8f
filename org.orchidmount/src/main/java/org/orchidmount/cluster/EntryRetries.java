/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.RetryDemand;
import org.orchidmount.cluster.ClusterMessage.RetryReply;
import org.orchidmount.cluster.ClusterMessage.RetryRequestMessage;
import org.orchidmount.retry.RetryAnswer;
import org.orchidmount.retry.RetryOwnerClient;
import org.orchidmount.retry.RetryRequest;

/**
 * An entry's requests for retries to the leading voter, and its reports of requests while that
 * voter asks for them. Confined to the entry's thread, except for {@link #request}.
 */
final class EntryRetries implements RetryOwnerClient {
    /** Maximum number of voters asked: some without a leader, one that names it, and the leader. */
    private static final int MAX_ATTEMPTS = 5;

    /** Time for which requests are reported once a voter has asked for it. */
    private static final Duration DEMAND_LIFETIME = Duration.ofMillis(2_500);

    private static final long REPORT_INTERVAL_MILLIS = 150;

    private final TaskThread mTasks;
    private final MonotonicClock mClock;
    private final Map<Link, Greeting> mVoters = new LinkedHashMap<>();
    private final Map<Long, Pending> mPending = new HashMap<>();
    private Function<String, RetryRequest> mReporter;
    private long mLastNumber;

    /** The leading voter as far as known; null if unknown. */
    private Link mOwner;

    private List<String> mDemanded = List.of();
    private long mDemandedUntilNanos;
    private boolean mIsReporting;

    /** A request that awaits a voter's reply. */
    private record Pending(
            RetryRequest request,
            CompletableFuture<RetryAnswer> answer,
            Link asked,
            int attempts) {}

    EntryRetries(TaskThread tasks, MonotonicClock clock) {
        mTasks = tasks;
        mClock = clock;
    }

    /** Sets the source of reports, by service. */
    void reportFrom(Function<String, RetryRequest> reporter) {
        mReporter = reporter;
    }

    @Override
    public CompletableFuture<RetryAnswer> request(RetryRequest request) {
        CompletableFuture<RetryAnswer> answer = new CompletableFuture<>();
        mTasks.post(() -> send(request, answer, 0));
        return answer;
    }

    private void send(RetryRequest request, CompletableFuture<RetryAnswer> answer, int attempts) {
        demoteSilent();
        Link asked = mOwner != null ? mOwner : anyVoter();
        if (asked == null || attempts >= MAX_ATTEMPTS || answer.isDone()) {
            answer.complete(
                    asked == null && isEarlierBuildLinked()
                            ? RetryAnswer.UNSUPPORTED
                            : RetryAnswer.NO_OWNER);
            return;
        }
        long number = ++mLastNumber;
        mPending.put(number, new Pending(request, answer, asked, attempts + 1));
        asked.send(new RetryRequestMessage(number, request));
    }

    /** Returns whether a voter is linked that does not support these requests. */
    private boolean isEarlierBuildLinked() {
        return mVoters.entrySet().stream()
                .filter(voter -> voter.getKey().isOpen())
                .anyMatch(voter -> !voter.getValue().supports(Capability.RETRY_LIMIT));
    }

    /** Asks the voters last whose replies have not come in time. */
    private void demoteSilent() {
        List<Pending> abandoned =
                mPending.values().stream().filter(pending -> pending.answer().isDone()).toList();
        mPending.values().removeAll(abandoned);
        abandoned.forEach(pending -> demote(pending.asked()));
    }

    /** Asks a voter that is not known to lead after the others. */
    private void demote(Link voter) {
        if (voter.equals(mOwner)) {
            mOwner = null;
        }
        Greeting greeting = mVoters.remove(voter);
        if (greeting != null) {
            mVoters.put(voter, greeting);
        }
    }

    /** Returns the first linked voter that supports these requests; null if there is none. */
    private Link anyVoter() {
        return mVoters.entrySet().stream()
                .filter(voter -> voter.getKey().isOpen())
                .filter(voter -> voter.getValue().supports(Capability.RETRY_LIMIT))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    /** Handles a message about retries; returns false for other messages. */
    boolean received(Link voter, ClusterMessage message) {
        if (message instanceof RetryReply reply) {
            onReply(voter, reply);
        } else if (message instanceof RetryDemand demand) {
            onDemand(voter, demand);
        } else {
            return false;
        }
        return true;
    }

    private void onReply(Link voter, RetryReply reply) {
        Pending pending = mPending.remove(reply.number());
        if (reply.answer().outcome() != RetryAnswer.Outcome.NO_OWNER) {
            mOwner = voter;
            if (pending != null) {
                pending.answer().complete(reply.answer());
            }
            return;
        }
        demote(voter);
        if (pending != null) {
            askAnotherVoter(voter, reply.owner(), pending);
        }
    }

    /** Asks the leader that a voter has named, or else the next voter. */
    private void askAnotherVoter(Link voter, String owner, Pending pending) {
        Link named = linkTo(owner);
        if (named == null || named.equals(voter)) {
            send(pending.request(), pending.answer(), pending.attempts());
        } else if (!mVoters.get(named).supports(Capability.RETRY_LIMIT)) {
            pending.answer().complete(RetryAnswer.UNSUPPORTED);
        } else {
            mOwner = named;
            send(pending.request(), pending.answer(), pending.attempts());
        }
    }

    private Link linkTo(String address) {
        return mVoters.entrySet().stream()
                .filter(voter -> voter.getKey().isOpen())
                .filter(voter -> voter.getValue().voter().address().equals(address))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    private void onDemand(Link voter, RetryDemand demand) {
        mOwner = voter;
        mDemanded = demand.services();
        mDemandedUntilNanos = mClock.nanoTime() + DEMAND_LIFETIME.toNanos();
        if (!mIsReporting) {
            mIsReporting = true;
            report();
        }
    }

    private void report() {
        if (mOwner == null || mReporter == null || mClock.nanoTime() - mDemandedUntilNanos >= 0) {
            mIsReporting = false;
            return;
        }
        for (String service : mDemanded) {
            RetryRequest report = mReporter.apply(service);
            if (report.requests() > 0) {
                mOwner.send(new RetryRequestMessage(0, report));
            }
        }
        mTasks.after(REPORT_INTERVAL_MILLIS, this::report);
    }

    void linked(Link voter, Greeting greeting) {
        mVoters.put(voter, greeting);
    }

    void lost(Link voter) {
        mVoters.remove(voter);
        if (voter.equals(mOwner)) {
            mOwner = null;
        }
        mPending.values().stream()
                .filter(pending -> pending.asked().equals(voter))
                .forEach(pending -> pending.answer().complete(RetryAnswer.NO_OWNER));
        mPending.values().removeIf(pending -> pending.answer().isDone());
    }
}
