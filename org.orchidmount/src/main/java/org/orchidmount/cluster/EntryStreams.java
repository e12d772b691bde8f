/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.StreamRecords;
import org.orchidmount.cluster.ClusterMessage.StreamReply;
import org.orchidmount.cluster.ClusterMessage.StreamRequest;
import org.orchidmount.stream.StreamKey;
import org.orchidmount.stream.StreamOrigin;
import org.orchidmount.stream.StreamOrigins;
import org.orchidmount.stream.StreamRecord;
import org.orchidmount.stream.StreamRegistry;

/**
 * The origins of streams at an entry: tells voters those of the streams that begin here, and asks
 * voters for those of others.
 *
 * <p>Each origin goes to two voters, in two availability zones where possible, so that it outlives
 * this entry together with either of them. A voter that has just been linked gets all, as it may
 * have lost them. The methods of {@link StreamOrigins} are thread-safe, the others confined to the
 * entry's thread.
 */
final class EntryStreams implements StreamOrigins {
    /** Time for a reply; well above a round trip within a site. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(300);

    /** Longest time between two notices of a voter in contact with a quorum, with a margin. */
    private static final Duration CONFIRMED_WITHIN = Duration.ofMillis(1_600);

    private final String mInstance;
    private final String mZone;
    private final TaskThread mTasks;
    private final Supplier<Duration> mSinceConfirmation;
    private final StreamRegistry mKnown;

    /** Streams that began here. */
    private final StreamRegistry mOwn;

    /** The linked voters with the capability, in the order of their links. */
    private final Map<Link, Greeting> mVoters = new LinkedHashMap<>();

    private final List<StreamRecord> mUnsent = new ArrayList<>();
    private final Map<Long, Search> mSearches = new HashMap<>();
    private long mLastNumber;

    /** A search for an origin, and the voters that have not replied. */
    private record Search(CompletableFuture<Optional<StreamRecord>> result, Set<Link> awaited) {
        void noReplyFrom(Link voter) {
            awaited.remove(voter);
            if (awaited.isEmpty()) {
                result.complete(Optional.empty());
            }
        }
    }

    /**
     * Creates an instance.
     *
     * @param instance name of this entry
     * @param zone its availability zone
     * @param tasks the entry's thread
     * @param sinceConfirmation returns the time since a voter with contact to a quorum was heard
     * @param clock the clock
     */
    EntryStreams(
            String instance,
            String zone,
            TaskThread tasks,
            Supplier<Duration> sinceConfirmation,
            MonotonicClock clock) {
        mSinceConfirmation = sinceConfirmation;
        mInstance = instance;
        mZone = zone;
        mTasks = tasks;
        mKnown = new StreamRegistry(clock);
        mOwn = new StreamRegistry(clock);
    }

    @Override
    public void begun(String requestId, StreamOrigin origin, Duration lifetime) {
        StreamRecord stream = new StreamRecord(StreamKey.of(requestId), origin, lifetime);
        mOwn.add(stream);
        mTasks.post(() -> collect(stream));
    }

    private void collect(StreamRecord stream) {
        mUnsent.add(stream);
        if (mUnsent.size() == 1) {
            mTasks.post(this::sendCollected);
        }
    }

    private void sendCollected() {
        Frame frame = new Frame(new StreamRecords(mUnsent));
        mUnsent.clear();
        recipients().forEach(voter -> voter.send(frame));
    }

    /** Returns a voter nearby and one in another availability zone, different ones by instance. */
    private List<Link> recipients() {
        List<Link> voters =
                mVoters.keySet().stream()
                        .filter(Link::isOpen)
                        .sorted(Comparator.comparing(this::isFar).thenComparing(this::spread))
                        .toList();
        if (voters.isEmpty()) {
            return voters;
        }
        Link first = voters.getFirst();
        String zone = mVoters.get(first).zone();
        Comparator<Link> otherZoneFirst =
                Comparator.comparing(voter -> mVoters.get(voter).zone().equals(zone));
        Stream<Link> second =
                voters.stream().filter(voter -> voter != first).sorted(otherZoneFirst).limit(1);
        return Stream.concat(Stream.of(first), second).toList();
    }

    private boolean isFar(Link voter) {
        return !mVoters.get(voter).zone().equals(mZone);
    }

    private int spread(Link voter) {
        return Objects.hash(mInstance, mVoters.get(voter).node());
    }

    @Override
    public Optional<StreamOrigin> find(String requestId) throws InterruptedException {
        StreamKey key = StreamKey.of(requestId);
        Optional<StreamRecord> held = mOwn.find(key).or(() -> mKnown.find(key));
        Optional<StreamRecord> found = held.isPresent() ? held : ask(key);
        return found.map(StreamRecord::origin);
    }

    @Override
    public boolean knowsAllUpstreams() {
        return mSinceConfirmation.get().compareTo(CONFIRMED_WITHIN) < 0;
    }

    private Optional<StreamRecord> ask(StreamKey key) throws InterruptedException {
        CompletableFuture<Optional<StreamRecord>> result = new CompletableFuture<>();
        mTasks.post(() -> search(key, result));
        try {
            return result.get(REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            result.complete(Optional.empty());
            return Optional.empty();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a search never fails", e);
        }
    }

    private void search(StreamKey key, CompletableFuture<Optional<StreamRecord>> result) {
        mSearches.values().removeIf(search -> search.result().isDone());
        Set<Link> asked = new HashSet<>();
        mVoters.keySet().stream().filter(Link::isOpen).forEach(asked::add);
        if (asked.isEmpty()) {
            result.complete(Optional.empty());
            return;
        }
        long number = ++mLastNumber;
        mSearches.put(number, new Search(result, asked));
        Frame frame = new Frame(new StreamRequest(number, key));
        List.copyOf(asked).forEach(voter -> voter.send(frame));
    }

    /** Handles the reply of a voter; returns false for other messages. */
    boolean received(Link voter, ClusterMessage message) {
        if (!(message instanceof StreamReply reply)) {
            return false;
        }
        reply.stream().ifPresent(mKnown::add);
        Search search = mSearches.get(reply.number());
        if (search != null && reply.stream().isPresent()) {
            search.result().complete(reply.stream());
        } else if (search != null) {
            search.noReplyFrom(voter);
        }
        return true;
    }

    /** Tells a voter that was linked all origins of streams that began here. */
    void linked(Link voter, Greeting greeting) {
        if (!greeting.supports(Capability.STREAM_ORIGINS)) {
            return;
        }
        mVoters.put(voter, greeting);
        List<StreamRecord> own = mOwn.all();
        if (!own.isEmpty()) {
            voter.send(new StreamRecords(own));
        }
    }

    void lost(Link voter) {
        mVoters.remove(voter);
        List.copyOf(mSearches.values()).forEach(search -> search.noReplyFrom(voter));
    }

    /** Removes what no caller can continue any more. */
    void removeExpired() {
        mOwn.removeExpired();
        mKnown.removeExpired();
    }
}
