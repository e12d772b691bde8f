/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.routes.ClientAccount;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.MemoryForecast;
import org.orchidmount.routing.MemoryWaitRule;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.waiting.RoomForecast;
import org.orchidmount.waiting.RoomRule;
import org.orchidmount.waiting.RoomRule.Decision;
import org.orchidmount.waiting.WaitOrder;
import org.orchidmount.waiting.WaitingQueue;
import org.orchidmount.waiting.WaitingRequest;

/**
 * Waits for room for one request in the order of all waiting requests of the site.
 *
 * <p>Applies {@link WaitOrder} and {@link RoomRule}. Invariants: a request that is announced as
 * waiting is announced as ended when it leaves; with nobody ahead, the search is the same as
 * without an order. Confined to one virtual thread.
 */
final class RoomWait {
    private static final PartLog LOG = PartLog.of("engine");

    /** Longest interval between two searches, as without an order. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(45);

    /** Shortest interval between two searches, however many sequences end; bounds the load. */
    private static final Duration MIN_SEARCH_INTERVAL = Duration.ofMillis(15);

    private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(250);

    /**
     * Time after which a request ahead that has room, but does not take it, is passed: a search
     * interval, the delay of its announcement and a reservation. It may see other engines or less
     * memory than this entry assumes, or its entry may have stopped.
     */
    private static final Duration HELD_ROOM = Duration.ofMillis(100);

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Service mService;
    private final InFlightSequence mOutput;
    private final CancelSignal mCancel;
    private final RequestProgress mProgress;
    private final Search mSearch;
    private final Map<String, Long> mPlaceableSinceNanos = new HashMap<>();
    private int mAheadOnArrival;
    private boolean mHasArrived;
    private boolean mIsAnnounced;
    private long mAnnouncedNanos;
    private boolean mHadRoom;
    private OptionalDouble mMillisToRoom = OptionalDouble.empty();

    /** The search for a placement. */
    interface Search {
        /**
         * Searches once.
         *
         * @param held ids of the engines that the request may not use
         */
        Optional<Placement> search(Set<String> held) throws InterruptedException;

        /** Returns whether no engine accepts work before a wait ends. */
        boolean isUseless(long waitNanos);

        /** Returns the part of an engine's memory that the request may use. */
        long availableTokens(long memoryTokens);

        /** Returns the speed of an engine. */
        EngineSpeed engineSpeed(String upstreamId);
    }

    RoomWait(
            RelayContext context,
            RelayRequest request,
            Service service,
            InFlightSequence output,
            CancelSignal cancel,
            RequestProgress progress,
            Search search) {
        mContext = context;
        mRequest = request;
        mService = service;
        mOutput = output;
        mCancel = cancel;
        mProgress = progress;
        mSearch = search;
    }

    private WaitingQueue queue() {
        return mContext.waiting();
    }

    /** Returns whether requests for the service are placed in order. */
    boolean isInForce() {
        return mService.engine().isPresent() && queue().isInForce().getAsBoolean();
    }

    /** Returns the number of requests ahead when this one began to search. */
    int aheadOnArrival() {
        return mAheadOnArrival;
    }

    /** Returns the forecast time to room if the last wait ended without a placement. */
    OptionalDouble millisToRoom() {
        return mMillisToRoom;
    }

    /** Returns whether the last wait ended although an engine had room by the forecast. */
    boolean hadRoom() {
        return mHadRoom;
    }

    /**
     * Returns how long the request waits so that it is in time.
     *
     * @param promptMillis time that its prefill takes
     */
    Duration untilLate(double promptMillis, EngineSpeed speed) {
        return MemoryWaitRule.untilLate(
                mRequest.route().targetLatency(),
                mProgress.age(),
                Math.max(promptMillis, speed.firstTokenMillis()));
    }

    /**
     * Waits for its turn and a placement.
     *
     * @param maxWait the longest wait
     * @return the placement; empty if there is none in time
     */
    Optional<Placement> place(Duration maxWait) throws InterruptedException {
        long untilNanos = mContext.clock().nanoTime() + maxWait.toNanos();
        mMillisToRoom = OptionalDouble.empty();
        try (CancelSignal.Registration _ = mCancel.onCancel(queue().requests()::changed)) {
            while (!mCancel.isCancelled()) {
                long changes = queue().requests().changes();
                Optional<Placement> placement = tryOnce(untilNanos);
                if (placement.isPresent() || mMillisToRoom.isPresent()) {
                    return placement;
                }
                if (mSearch.isUseless(untilNanos - mContext.clock().nanoTime())) {
                    return Optional.empty();
                }
                announce(untilNanos);
                mProgress.startWaiting(Activity.PLACEMENT);
                if (!mCancel.await(MIN_SEARCH_INTERVAL)) {
                    queue().requests()
                            .awaitChange(changes, POLL_INTERVAL.minus(MIN_SEARCH_INTERVAL));
                }
            }
            return Optional.empty();
        } finally {
            announceEnd();
        }
    }

    /** Searches in the request's turn; sets the time to room if the request is to be refused. */
    private Optional<Placement> tryOnce(long untilNanos) throws InterruptedException {
        List<RoomForecast.Engine> engines = engines();
        List<WaitingRequest> ahead = ahead(engines, untilNanos);
        if (!mHasArrived) {
            mHasArrived = true;
            mAheadOnArrival = ahead.size();
        }
        if (ahead.isEmpty()) {
            Optional<Placement> placement = mSearch.search(withoutFreeSlot(engines));
            if (placement.isPresent()) {
                return placement;
            }
        }
        Decision decision = RoomRule.decide(input(ahead, engines, untilNanos));
        mHadRoom = decision instanceof Decision.Place;
        boolean isOver = mContext.clock().nanoTime() - untilNanos > 0;
        switch (decision) {
            case Decision.Place place -> {
                Optional<Placement> placement =
                        ahead.isEmpty()
                                ? Optional.empty()
                                : mSearch.search(others(engines, place.engines()));
                if (placement.isEmpty() && isOver) {
                    mMillisToRoom = OptionalDouble.of(RoomForecast.NEVER);
                }
                return placement;
            }
            case Decision.Wait wait -> {
                recordPlaceable(wait.placeableAhead());
                if (isOver) {
                    mMillisToRoom = OptionalDouble.of(wait.millis());
                }
            }
            case Decision.Refuse refuse -> mMillisToRoom = OptionalDouble.of(refuse.millis());
        }
        if (mMillisToRoom.isPresent()) {
            LOG.debug(
                    "%s: no room in time, %d ahead, room in %.0f ms",
                    mRequest.id(), ahead.size(), mMillisToRoom.getAsDouble());
        }
        return Optional.empty();
    }

    private RoomRule.Input input(
            List<WaitingRequest> ahead, List<RoomForecast.Engine> engines, long untilNanos) {
        long memoryTokens = mService.engine().orElseThrow().kvCacheTokens();
        return new RoomRule.Input(
                mOutput.forecastInput(0),
                Duration.ofNanos(untilNanos - mContext.clock().nanoTime()).toMillis(),
                mSearch.availableTokens(memoryTokens),
                ahead,
                engines,
                mContext.announcer().isComplete());
    }

    /** Returns the engines that would refuse a reservation although they have memory. */
    private static Set<String> withoutFreeSlot(List<RoomForecast.Engine> engines) {
        return engines.stream()
                .filter(engine -> !engine.hasFreeSlot())
                .map(RoomForecast.Engine::id)
                .collect(Collectors.toSet());
    }

    private static Set<String> others(List<RoomForecast.Engine> engines, Set<String> usable) {
        Set<String> others = new HashSet<>();
        for (RoomForecast.Engine engine : engines) {
            if (!usable.contains(engine.id())) {
                others.add(engine.id());
            }
        }
        return others;
    }

    private void recordPlaceable(Set<String> placeable) {
        long nowNanos = mContext.clock().nanoTime();
        mPlaceableSinceNanos
                .entrySet()
                .removeIf(
                        entry ->
                                !placeable.contains(entry.getKey())
                                        && !isPassed(entry.getValue(), nowNanos));
        placeable.forEach(id -> mPlaceableSinceNanos.putIfAbsent(id, nowNanos));
    }

    private static boolean isPassed(Long sinceNanos, long nowNanos) {
        return sinceNanos != null && nowNanos - sinceNanos > HELD_ROOM.toNanos();
    }

    private List<WaitingRequest> ahead(List<RoomForecast.Engine> engines, long untilNanos) {
        List<WaitingRequest> waiting = queue().requests().waiting(mService.name());
        if (waiting.isEmpty()) {
            return List.of();
        }
        int outputs = engines.stream().mapToInt(engine -> engine.sequences().size()).sum();
        double intervalMillis =
                mContext.speedEstimator(mService.name()).speed().outputMillis()
                        / Math.max(1, outputs);
        List<WaitingRequest> ahead =
                new ArrayList<>(WaitOrder.ahead(waiting, own(untilNanos, false), intervalMillis));
        long nowNanos = mContext.clock().nanoTime();
        ahead.removeIf(request -> isPassed(mPlaceableSinceNanos.get(request.id()), nowNanos));
        return ahead;
    }

    /** Returns the engines that accept work, with their sequences. */
    private List<RoomForecast.Engine> engines() {
        Map<String, Integer> slots =
                mContext.upstreams().slotsByUpstream(mService.name(), Stage.DECODE);
        slots.keySet().removeAll(mContext.upstreams().avoided(mService.name(), Stage.DECODE));
        slots.keySet().removeAll(mContext.throttle().throttledUpstreams());
        Map<String, EngineSpeed> speeds = new HashMap<>();
        slots.keySet().forEach(id -> speeds.put(id, mSearch.engineSpeed(id)));
        Map<String, List<MemoryForecast.Sequence>> sequences = mContext.loads().sequences(speeds);
        long memoryTokens = mService.engine().orElseThrow().kvCacheTokens();
        List<RoomForecast.Engine> engines = new ArrayList<>();
        slots.forEach(
                (id, count) ->
                        engines.add(
                                new RoomForecast.Engine(
                                        id,
                                        memoryTokens,
                                        count,
                                        speeds.get(id).outputTokensPerMilli(),
                                        speeds.get(id).firstTokenMillis(),
                                        sequences.get(id))));
        return engines;
    }

    private WaitingRequest own(long untilNanos, boolean ended) {
        long nowNanos = mContext.clock().nanoTime();
        return new WaitingRequest(
                mRequest.id(),
                mService.name(),
                mRequest.account().map(ClientAccount::name).orElse(""),
                mRequest.urgency().orElse(0),
                mOutput.promptTokens() + unavailableTokens(),
                mOutput.expectedTokens(),
                mProgress.age().toMillis(),
                Duration.ofNanos(untilNanos - nowNanos).toMillis(),
                ended);
    }

    /**
     * Returns the memory that the request must leave free, which others count as part of its
     * prompt. Otherwise they would leave room to a client retry that it may not use.
     */
    private int unavailableTokens() {
        long memoryTokens = mService.engine().orElseThrow().kvCacheTokens();
        return (int) (memoryTokens - mSearch.availableTokens(memoryTokens));
    }

    private void announce(long untilNanos) {
        long nowNanos = mContext.clock().nanoTime();
        if (mIsAnnounced && nowNanos - mAnnouncedNanos < ANNOUNCE_INTERVAL.toNanos()) {
            return;
        }
        mIsAnnounced = true;
        mAnnouncedNanos = nowNanos;
        publish(own(untilNanos, false));
    }

    private void announceEnd() {
        if (mIsAnnounced) {
            mIsAnnounced = false;
            publish(own(mContext.clock().nanoTime(), true));
        }
    }

    private void publish(WaitingRequest request) {
        queue().requests().onWaiting(List.of(request));
        queue().announcer().announce(request);
    }
}
