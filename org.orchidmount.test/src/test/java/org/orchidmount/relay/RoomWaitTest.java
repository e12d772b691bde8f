/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.SampleRoutes;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.load.SequenceAnnouncer;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.pacing.SendPermit;
import org.orchidmount.pacing.UpstreamLimits;
import org.orchidmount.pacing.UpstreamThrottle;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.SharedQuota;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.waiting.WaitingQueue;
import org.orchidmount.waiting.WaitingRequest;
import org.orchidmount.waiting.WaitingRequests;

/** A request waits for its turn, announces that it does, and is refused if it cannot be in time. */
final class RoomWaitTest {
    private static final String SERVICE = "s";
    private static final Duration TARGET = Duration.ofMillis(800);
    private static final EngineSpeed SPEED = new EngineSpeed(0.02, 0.04, 1.3, 150, 3_000);
    private static final int SLOTS = 2;

    private final ManualClock mClock = new ManualClock();
    private final EngineLoads mLoads = new EngineLoads(mClock);
    private final WaitingRequests mWaiting = new WaitingRequests(mClock);
    private final List<WaitingRequest> mAnnounced = new ArrayList<>();
    private final List<Set<String>> mSearches = new ArrayList<>();
    private final UpstreamDirectory mUpstreams =
            new UpstreamDirectory("a", mClock, new SplittableRandom(1));
    private boolean mIsInForce = true;
    private boolean mIsComplete = true;
    private boolean mHasPlace;
    private long mPlaceAfterSearches;
    private long mUnavailableTokens;

    @BeforeEach
    void setUp() {
        for (String id : List.of("e1", "e2")) {
            String address = "10.0.0.1:" + id.charAt(1);
            mUpstreams.update(
                    new Registration(
                            id, SERVICE, address, "a", SLOTS, Stage.DECODE, State.READY, 1));
        }
    }

    /** Occupies slots of an engine by sequences that have just begun or are nearly complete. */
    private void occupy(String engine, int count, int generatedTokens) {
        for (int i = 0; i < count; i++) {
            mLoads.update(
                    InFlightSequence.ofOutput("x" + i, 100, 4_900, 10_000)
                            .placedAt(Incarnation.ofUnknownStart(engine), 1)
                            .withGenerated(generatedTokens));
        }
    }

    private void otherWaits(String id, int promptTokens) {
        mWaiting.onWaiting(
                List.of(
                        new WaitingRequest(
                                id, SERVICE, "", 0, promptTokens, 4_900, 50, 700, false)));
    }

    private RoomWait roomWait() {
        return new RoomWait(
                context(),
                new RelayRequest(
                        "own",
                        SampleRoutes.stream(false, Duration.ofSeconds(30), TARGET, 2, SERVICE),
                        Optional.empty(),
                        Methods.POST,
                        "/x",
                        new HeaderMap(),
                        new byte[0],
                        0,
                        0,
                        Optional.of(new RelayRequest.Prompt(1_000, 0, 0, 0))),
                new Service(SERVICE, Optional.of(new Service.Engine(74_000, 70))),
                InFlightSequence.ofOutput("own", 1_000, 4_900, 10_000),
                new CancelSignal(),
                new RequestProgress(mClock, "own"),
                new Searches());
    }

    private RelayContext context() {
        return new RelayContext(
                mUpstreams,
                null,
                new ConcurrentHashMap<>(),
                null,
                null,
                null,
                mLoads,
                new Sequences(),
                null,
                new UpstreamThrottle(
                        new UpstreamLimits("alone", mClock),
                        limit -> {},
                        new SharedQuota(new NoOwner()),
                        () -> 1,
                        new SplittableRandom(1),
                        mClock),
                new WaitingQueue(mWaiting, mAnnounced::add, () -> mIsInForce),
                null,
                null,
                null,
                mClock);
    }

    @Test
    void aRequestWithRoomIsPlacedWithoutAnAnnouncement() throws Exception {
        mHasPlace = true;
        RoomWait wait = roomWait();
        assertThat(wait.place(Duration.ofMillis(500))).isPresent();
        assertThat(mSearches).containsExactly(Set.of());
        assertThat(mAnnounced).isEmpty();
        assertThat(wait.aheadOnArrival()).isEqualTo(0);
    }

    /** Guards against attempts at engines that have memory but would refuse for their slots. */
    @Test
    void anEngineWithoutAFreeSlotIsNotAsked() throws Exception {
        occupy("e1", SLOTS, 10);
        mHasPlace = true;
        assertThat(roomWait().place(Duration.ofMillis(500))).isPresent();
        assertThat(mSearches).containsExactly(Set.of("e1"));
    }

    /** Guards against a caller that waits for a refusal. */
    @Test
    void aRequestThatCannotBeInTimeIsRefusedAtOnce() throws Exception {
        occupy("e1", SLOTS, 10);
        occupy("e2", SLOTS, 10);
        for (int i = 0; i < 20; i++) {
            otherWaits("w" + i, 1_000);
        }
        RoomWait wait = roomWait();
        assertThat(wait.place(Duration.ofMillis(500))).isEmpty();
        assertThat(mAnnounced).isEmpty();
        assertThat(wait.millisToRoom().getAsDouble()).isGreaterThan(500.0);
        assertThat(wait.aheadOnArrival()).isEqualTo(20);
    }

    /** Guards against refusals by an entry that has just started and knows few sequences. */
    @Test
    void nothingIsRefusedEarlyWhileSequencesAreUnknown() throws Exception {
        mIsComplete = false;
        occupy("e1", SLOTS, 10);
        occupy("e2", SLOTS, 10);
        assertThat(roomWait().place(Duration.ofMillis(100))).isEmpty();
        assertThat(mSearches.size()).isAtLeast(3);
    }

    /** Guards against requests that others no longer see, or see after they have left. */
    @Test
    void aWaitingRequestIsAnnouncedAtIntervalsAndWhenItLeaves() throws Exception {
        mIsComplete = false;
        occupy("e1", SLOTS, 10);
        occupy("e2", SLOTS, 10);
        mHasPlace = true;
        mPlaceAfterSearches = 14;
        assertThat(roomWait().place(Duration.ofMillis(2_000))).isPresent();
        assertThat(mAnnounced.stream().map(WaitingRequest::ended).toList())
                .containsExactly(false, false, false, true)
                .inOrder();
        assertThat(mWaiting.waiting(SERVICE)).isEmpty();
    }

    /** Guards against a request that takes the room of one that came before it. */
    @Test
    void aRequestLeavesTheRoomToThoseAheadUntilTheyDoNotTakeIt() throws Exception {
        occupy("e1", SLOTS, 10);
        occupy("e2", 1, 10);
        otherWaits("other", 1_000);
        mHasPlace = true;
        RoomWait wait = roomWait();
        long startNanos = mClock.nanoTime();
        assertThat(wait.place(Duration.ofMillis(500))).isPresent();
        Duration waited = Duration.ofNanos(mClock.nanoTime() - startNanos);
        assertThat(waited).isAtLeast(Duration.ofMillis(100));
        assertThat(waited).isAtMost(Duration.ofMillis(200));
        assertThat(wait.aheadOnArrival()).isEqualTo(1);
    }

    /** Guards against engines that stay unused because somebody waits. */
    @Test
    void aRequestUsesRoomThatThoseAheadDoNotNeed() throws Exception {
        occupy("e1", SLOTS, 10);
        otherWaits("other", 1_000);
        mHasPlace = true;
        assertThat(roomWait().place(Duration.ofMillis(500))).isPresent();
        assertThat(mSearches).containsExactly(Set.of("e1"));
        assertThat(mAnnounced).isEmpty();
    }

    /** Guards against room that is left to a client retry which may not use it. */
    @Test
    void memoryThatARequestMustLeaveFreeIsAnnouncedAsPartOfItsPrompt() throws Exception {
        mUnavailableTokens = 11_100;
        mIsComplete = false;
        occupy("e1", SLOTS, 10);
        occupy("e2", SLOTS, 10);
        assertThat(roomWait().place(Duration.ofMillis(100))).isEmpty();
        assertThat(mAnnounced.getFirst().promptTokens()).isEqualTo(12_100);
    }

    @Test
    void withoutEnginePropertiesOrOutOfForceThereIsNoOrder() {
        assertThat(roomWait().isInForce()).isTrue();
        mIsInForce = false;
        assertThat(roomWait().isInForce()).isFalse();
    }

    /** Records searches; time advances by one search interval when a search is in vain. */
    private final class Searches implements RoomWait.Search {
        @Override
        public Optional<Placement> search(Set<String> held) {
            mSearches.add(new TreeSet<>(held));
            if (!mHasPlace || mSearches.size() < mPlaceAfterSearches) {
                return Optional.empty();
            }
            return Optional.of(Placement.withoutReservation(null, SendPermit.FREE));
        }

        @Override
        public boolean isUseless(long waitNanos) {
            mClock.advance(Duration.ofMillis(45));
            return false;
        }

        @Override
        public long availableTokens(long memoryTokens) {
            return memoryTokens - mUnavailableTokens;
        }

        @Override
        public EngineSpeed engineSpeed(String upstreamId) {
            return SPEED;
        }
    }

    /** Announces nothing. */
    private final class Sequences implements SequenceAnnouncer {
        @Override
        public void begin(InFlightSequence sequence, IntSupplier generatedTokens) {}

        @Override
        public void end(InFlightSequence sequence) {}

        @Override
        public boolean isComplete() {
            return mIsComplete;
        }
    }

    /** There is no owner of limits. */
    private static final class NoOwner implements QuotaOwnerClient {
        @Override
        public CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request) {
            return CompletableFuture.completedFuture(QuotaAnswer.NO_OWNER);
        }

        @Override
        public void refund(String key, long units) {}
    }
}
