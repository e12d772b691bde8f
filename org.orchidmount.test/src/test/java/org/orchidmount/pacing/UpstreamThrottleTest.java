/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaOwner;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.SharedQuota;

/** What one instance sends to upstreams that state limits. */
final class UpstreamThrottleTest {
    private static final Incarnation UPSTREAM = Incarnation.startedAt("i-1", 1);
    private static final Incarnation OTHER = Incarnation.startedAt("i-2", 1);
    private static final Duration TARGET = Duration.ofMillis(400);
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final int INSTANCES = 4;

    private final ManualClock mClock = new ManualClock();
    private final UpstreamLimits mLimits = new UpstreamLimits("here", mClock);
    private final Owner mOwner = new Owner();
    private final List<UpstreamLimit> mAnnounced = new ArrayList<>();
    private final UpstreamThrottle mThrottle =
            new UpstreamThrottle(
                    mLimits,
                    mAnnounced::add,
                    new SharedQuota(mOwner),
                    () -> INSTANCES,
                    new SplittableRandom(1),
                    mClock);

    /** Owns the buckets, or is silent. */
    private final class Owner implements QuotaOwnerClient {
        private final QuotaOwner mBuckets = new QuotaOwner();
        private boolean mIsSilent;
        private int mAsked;

        @Override
        public CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request) {
            mAsked++;
            return CompletableFuture.completedFuture(
                    mIsSilent ? QuotaAnswer.NO_OWNER : mBuckets.ask(request, mClock.nanoTime()));
        }

        @Override
        public void refund(String key, long units) {
            mBuckets.refund(key, units, mClock.nanoTime());
        }
    }

    private void observe(Incarnation upstream, LimitStatement limit, boolean hasServed) {
        UpstreamStatement stated = new UpstreamStatement(limit, PauseStatement.NONE, false);
        mThrottle.observe(upstream, stated, hasServed, mClock.nanoTime());
    }

    private void names(Incarnation upstream, double perSecond) {
        mClock.advance(Duration.ofMillis(1));
        observe(upstream, new LimitStatement.PerSecond(perSecond), true);
    }

    private boolean take() throws InterruptedException {
        return mThrottle.acquire(UPSTREAM, TARGET).isGranted();
    }

    /** Takes what there is now. */
    private int takeAll() throws InterruptedException {
        int taken = 0;
        while (take()) {
            taken++;
        }
        return taken;
    }

    @Test
    void nobodyIsAskedForAnUpstreamThatStatesNoLimit() throws InterruptedException {
        names(OTHER, 1);
        for (int i = 0; i < 100; i++) {
            assertThat(take()).isTrue();
        }
        assertThat(mOwner.mAsked).isEqualTo(0);
        assertThat(mThrottle.throttledUpstreams()).isEmpty();
    }

    @Test
    void oneThatHasGotWhatItTakesIsPassedOverUntilItHasRoom() throws InterruptedException {
        names(UPSTREAM, 4);
        takeAll();
        int asked = mOwner.mAsked;
        assertThat(mThrottle.throttledUpstreams()).containsExactly("i-1");
        assertThat(take()).isFalse();
        assertThat(mOwner.mAsked).isEqualTo(asked);
        mClock.advance(Duration.ofMillis(600));
        assertThat(mThrottle.throttledUpstreams()).isEmpty();
        assertThat(take()).isTrue();
    }

    @Test
    void whatWasNotSentIsGivenBack() throws InterruptedException {
        names(UPSTREAM, 4);
        SendPermit permit = mThrottle.acquire(UPSTREAM, TARGET);
        takeAll();
        mThrottle.refund(permit);
        mThrottle.refund(SendPermit.FREE);
        names(UPSTREAM, 8);
        assertThat(takeAll()).isAtLeast(1);
    }

    /** One that takes nothing gets a request now and then, or its end would never be heard of. */
    @Test
    void anUpstreamThatTakesNothingIsAskedNowAndThen() throws InterruptedException {
        names(UPSTREAM, 0);
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            sent += takeAll();
            mClock.advance(Duration.ofMillis(100));
        }
        assertThat(sent).isAtLeast(7);
        assertThat(sent).isAtMost(10);
    }

    @Test
    void aChangeCountsAtOnceAndIsTold() throws InterruptedException {
        names(UPSTREAM, 1);
        takeAll();
        names(UPSTREAM, 50);
        assertThat(mThrottle.throttledUpstreams()).isEmpty();
        mClock.advance(Duration.ofMillis(100));
        assertThat(take()).isTrue();
        observe(UPSTREAM, LimitStatement.NONE, true);
        assertThat(mAnnounced).hasSize(3);
        assertThat(mAnnounced.getLast().isInForce()).isFalse();
    }

    /** Guards against an upstream that is passed over for a limit which holds no longer. */
    @ParameterizedTest
    @ValueSource(doubles = {Double.POSITIVE_INFINITY, 50})
    void aChangeThatAnotherInstanceTellsCountsAtOnce(double perSecond) throws InterruptedException {
        names(UPSTREAM, 0.25);
        takeAll();
        assertThat(mThrottle.throttledUpstreams()).containsExactly("i-1");
        OptionalDouble told =
                Double.isInfinite(perSecond)
                        ? OptionalDouble.empty()
                        : OptionalDouble.of(perSecond);
        mLimits.merge(List.of(new UpstreamLimit(UPSTREAM, told, 2, "there")));
        assertThat(mThrottle.throttledUpstreams()).isEmpty();
        mClock.advance(Duration.ofMillis(100));
        assertThat(take()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"many", "", "3.6, 3.6"})
    void whatCannotBeReadChangesNothing(String text) {
        names(UPSTREAM, 2);
        mClock.advance(Duration.ofMillis(1));
        observe(UPSTREAM, new LimitStatement.Unreadable(text), true);
        assertThat(mLimits.find(UPSTREAM).orElseThrow().perSecond().getAsDouble()).isEqualTo(2.0);
        assertThat(mThrottle.toString()).contains("1 limits unreadable");
    }

    /** A reservation, a refusal or an error may state none while the upstream is in need. */
    @Test
    void onlyTheAnswerToARequestThatWasServedEndsALimit() {
        names(UPSTREAM, 2);
        mClock.advance(Duration.ofMillis(1));
        observe(UPSTREAM, LimitStatement.NONE, false);
        assertThat(mLimits.find(UPSTREAM)).isPresent();
        observe(UPSTREAM, new LimitStatement.PerSecond(4), false);
        assertThat(mLimits.find(UPSTREAM).orElseThrow().perSecond().getAsDouble()).isEqualTo(4.0);
        mClock.advance(Duration.ofMillis(1));
        observe(UPSTREAM, LimitStatement.NONE, true);
        assertThat(mLimits.find(UPSTREAM)).isEmpty();
    }

    /** Its part of half of what the upstream takes. */
    @Test
    void withoutAnOwnerAnInstanceSendsAnEqualPart() throws InterruptedException {
        mOwner.mIsSilent = true;
        names(UPSTREAM, 8);
        int sent = 0;
        for (int i = 0; i < 2_000; i++) {
            sent += takeAll();
            mClock.advance(Duration.ofMillis(10));
        }
        assertThat(sent).isAtLeast(18);
        assertThat(sent).isAtMost(21);
    }

    @Test
    void theOwnerIsAskedAgainSoonAfterItWasSilent() throws InterruptedException {
        names(UPSTREAM, 1);
        mOwner.mIsSilent = true;
        takeAll();
        mOwner.mIsSilent = false;
        mClock.advance(Duration.ofMillis(200));
        assertThat(take()).isTrue();
    }

    /** Though it has sent less than it may. */
    @Test
    void oneThatRefusesHasNoRoom() throws InterruptedException {
        names(UPSTREAM, 4);
        assertThat(mThrottle.recordRefusal(OTHER)).isFalse();
        assertThat(mThrottle.recordRefusal(UPSTREAM)).isTrue();
        assertThat(take()).isFalse();
        mClock.advance(Duration.ofMillis(251));
        assertThat(take()).isTrue();
    }

    @Test
    void aNewStartIsNotHeldToTheLimitOfTheOneBefore() throws InterruptedException {
        names(UPSTREAM, 1);
        takeAll();
        Incarnation next = Incarnation.startedAt("i-1", 2);
        mThrottle.registered(
                new Registration(
                        next,
                        "s",
                        "127.0.0.1:1",
                        "a",
                        1,
                        Registration.Stage.NONE,
                        Registration.State.READY,
                        1));
        assertThat(mThrottle.throttledUpstreams()).isEmpty();
        assertThat(mLimits.isEmpty()).isTrue();
        assertThat(mThrottle.acquire(next, TARGET).isGranted()).isTrue();
    }

    /**
     * Two upstreams that take 4 a second together: an instance of four has room for one a second.
     */
    @Test
    void thoseRefusedTogetherComeBackOneAfterTheOther() throws InterruptedException {
        names(UPSTREAM, 1);
        names(OTHER, 3);
        takeAll();
        List<Incarnation> both = List.of(UPSTREAM, OTHER);
        Duration first = mThrottle.retryAfter("s", both, 0, PATIENCE);
        Duration second = mThrottle.retryAfter("s", both, 0, PATIENCE);
        Duration third = mThrottle.retryAfter("s", both, 0, PATIENCE);
        assertThat(second.minus(first)).isEqualTo(Duration.ofSeconds(1));
        assertThat(third.minus(second)).isEqualTo(Duration.ofSeconds(1));
    }

    /** One that cannot wait so long takes no place, so others come back no later for it. */
    @ParameterizedTest
    @CsvSource({"100, 2", "4, 2"})
    void onlyThoseWhoCanWaitTakePlacesInTheQueue(int refused, int seconds) {
        names(UPSTREAM, 4);
        for (int i = 0; i < refused; i++) {
            mThrottle.retryAfter("s", List.of(UPSTREAM), 0, PATIENCE);
        }
        mClock.advance(Duration.ofSeconds(seconds));
        assertThat(mThrottle.retryAfter("s", List.of(UPSTREAM), 0, PATIENCE))
                .isAtMost(Duration.ofSeconds(2));
    }
}
