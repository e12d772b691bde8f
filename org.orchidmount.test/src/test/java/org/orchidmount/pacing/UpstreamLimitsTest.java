/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;

/** What responses and other instances say of an upstream's limit, in every order. */
final class UpstreamLimitsTest {
    private static final Incarnation UPSTREAM = Incarnation.startedAt("i-1", 1);
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final ManualClock mClock = new ManualClock();
    private final UpstreamLimits mLimits = new UpstreamLimits("here", mClock);

    private static OptionalDouble perSecond(double number) {
        return OptionalDouble.of(number);
    }

    /** A response to a request that was sent just now. */
    private Optional<UpstreamLimit> observe(OptionalDouble stated) {
        mClock.advance(Duration.ofMillis(1));
        return mLimits.observe(UPSTREAM, stated, mClock.nanoTime());
    }

    private OptionalDouble known() {
        return mLimits.find(UPSTREAM).map(UpstreamLimit::perSecond).orElse(NONE);
    }

    @Test
    void aLimitHoldsFromTheFirstResponseThatNamesItToTheFirstThatDoesNot() {
        assertThat(observe(NONE)).isEmpty();
        assertThat(mLimits.isEmpty()).isTrue();
        assertThat(observe(perSecond(3.6))).isPresent();
        assertThat(observe(perSecond(3.6))).isEmpty();
        assertThat(known()).isEqualTo(perSecond(3.6));
        assertThat(observe(NONE)).isPresent();
        assertThat(known()).isEqualTo(NONE);
        assertThat(observe(perSecond(0)).orElseThrow().version()).isEqualTo(3);
        assertThat(known()).isEqualTo(perSecond(0));
    }

    /** A response may be overtaken by one to a request that was sent later. */
    @Test
    void aResponseToAnEarlierRequestChangesNothing() {
        long earlyNanos = mClock.nanoTime();
        observe(perSecond(4));
        assertThat(mLimits.observe(UPSTREAM, NONE, earlyNanos)).isEmpty();
        assertThat(mLimits.observe(UPSTREAM, perSecond(8), earlyNanos)).isEmpty();
        assertThat(known()).isEqualTo(perSecond(4));
    }

    @ParameterizedTest
    @CsvSource({"4, 4.3, false", "4, 4.5, true", "4, 3.7, false", "4, 3.5, true", "0, 0.1, true"})
    void onlyChangesOfSomeSizeAreNews(double before, double after, boolean isNews) {
        observe(perSecond(before));
        assertThat(observe(perSecond(after)).isPresent()).isEqualTo(isNews);
    }

    /** Small steps add up to a change all the same. */
    @Test
    void aLimitThatDriftsIsFollowed() {
        for (double limit = 10; limit > 2; limit -= 0.25) {
            observe(perSecond(limit));
            assertThat(known().getAsDouble()).isWithin(0.12 * limit).of(limit);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void twoInstancesThatChangeItAtOnceComeToTheSame(boolean isStricterFirst) {
        UpstreamLimit strict = new UpstreamLimit(UPSTREAM, perSecond(2), 5, "one");
        UpstreamLimit mild = new UpstreamLimit(UPSTREAM, NONE, 5, "two");
        mLimits.merge(List.of(isStricterFirst ? strict : mild));
        mLimits.merge(List.of(isStricterFirst ? mild : strict));
        assertThat(known()).isEqualTo(perSecond(2));
    }

    @Test
    void anOlderRecordThatComesLateChangesNothing() {
        mLimits.merge(List.of(new UpstreamLimit(UPSTREAM, NONE, 2, "one")));
        List<UpstreamLimit> late = List.of(new UpstreamLimit(UPSTREAM, perSecond(2), 1, "one"));
        assertThat(mLimits.merge(late)).isEmpty();
        assertThat(known()).isEqualTo(NONE);
    }

    /** What was asked before the record came may have been answered before it was made. */
    @Test
    void aRecordOfAnotherInstanceOutlivesResponsesUnderWay() {
        long earlyNanos = mClock.nanoTime();
        mClock.advance(Duration.ofMillis(1));
        mLimits.merge(List.of(new UpstreamLimit(UPSTREAM, perSecond(2), 1, "one")));
        assertThat(mLimits.observe(UPSTREAM, NONE, earlyNanos)).isEmpty();
        assertThat(observe(NONE)).isPresent();
    }

    @Test
    void aLimitEndsWithItsIncarnation() {
        observe(perSecond(2));
        Incarnation next = Incarnation.startedAt("i-1", 2);
        assertThat(mLimits.find(next)).isEmpty();
        mLimits.forget(UPSTREAM::equals);
        assertThat(mLimits.isEmpty()).isTrue();
    }

    @Test
    void memoryIsBoundedAndLimitsInForceGiveWayLast() {
        observe(perSecond(2));
        for (int i = 0; i < UpstreamLimits.CAPACITY; i++) {
            Incarnation other = Incarnation.startedAt("other-" + i, 1);
            mLimits.merge(List.of(new UpstreamLimit(other, NONE, 1, "one")));
        }
        assertThat(mLimits.all()).hasSize(UpstreamLimits.CAPACITY);
        assertThat(known()).isEqualTo(perSecond(2));
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void numbersThatAreNoLimitAreRefused(double number) {
        assertThrows(
                IllegalArgumentException.class,
                () -> new UpstreamLimit(UPSTREAM, perSecond(number), 1, "one"));
        assertThrows(IllegalArgumentException.class, () -> new LimitStatement.PerSecond(number));
    }
}
