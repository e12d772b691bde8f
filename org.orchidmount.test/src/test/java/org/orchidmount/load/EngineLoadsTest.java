/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.MemoryForecast;

/** Tests {@code EngineLoads} and {@code MemoryForecast}. */
final class EngineLoadsTest {
    private static final int PROMPT = 5_000;
    private static final int EXPECTED = 4_000;
    private static final int MOST = 10_000;
    private static final long MEMORY = 90_000;

    /** Outputs grow by 1.3 tokens a millisecond from 150 ms on, for 3 s. */
    private static final EngineSpeed SPEED = new EngineSpeed(0.02, 0.04, 1.3, 150, 3_000);

    private static final Incarnation OLD = Incarnation.startedAt("i-1", 10);
    private static final Incarnation NEW = Incarnation.startedAt("i-1", 11);

    private final ManualClock mClock = new ManualClock();
    private final EngineLoads mLoads = new EngineLoads(mClock);

    @Test
    void runsThatBeganAtDifferentTimesLeaveRoomForMoreThanRunsThatBeganTogether() {
        assertThat(admitted(Duration.ofMillis(300))).isGreaterThan(admitted(Duration.ZERO));
    }

    @Test
    void anEngineTakesMoreThanTheSumOfLongestRunsButNotMoreThanItsMemory() {
        int admitted = admitted(Duration.ofMillis(350));
        assertThat(admitted).isGreaterThan((int) (MEMORY / (PROMPT + MOST)));
        assertThat(admitted).isLessThan((int) (MEMORY / PROMPT));
    }

    @Test
    void anEndedRunMakesRoomAgain() {
        int admitted = admitted(Duration.ZERO);
        assertThat(isCrowded("i-1")).isTrue();
        mLoads.update(run("i-1", "r-0").asEnded());
        assertThat(isCrowded("i-1")).isFalse();
        assertThat(admitted).isAtLeast(1);
    }

    @Test
    void anEngineOfWhichNothingIsKnownIsNotCrowded() {
        admitted(Duration.ZERO);
        assertThat(isCrowded("i-2")).isFalse();
    }

    @Test
    void aRunThatIsNotToldOfAgainIsForgotten() {
        admitted(Duration.ZERO);
        mClock.advance(Duration.ofSeconds(4));
        mLoads.update(run("i-1", "r-0").withGenerated(4_000));
        mClock.advance(Duration.ofSeconds(4));
        assertThat(isCrowded("i-1")).isFalse();
    }

    @Test
    void aSlowEngineKeepsItsRunsInSight() {
        admitted(Duration.ZERO);
        double before = mLoads.usedMemoryTokens("i-1", SPEED);
        mClock.advance(Duration.ofSeconds(2));
        mLoads.update(run("i-1", "r-0").withGenerated(100));
        mLoads.update(run("i-1", "r-0"));
        assertThat(mLoads.usedMemoryTokens("i-1", SPEED)).isGreaterThan(before);
        double others = mLoads.usedMemoryTokens("i-1", SPEED);
        mLoads.update(run("i-1", "r-0").asEnded());
        assertThat(others - mLoads.usedMemoryTokens("i-1", SPEED)).isWithin(1).of(PROMPT + 100);
    }

    @Test
    void lateNewsDoesNotBringBackAnEndedRun() {
        int admitted = admitted(Duration.ZERO);
        for (int i = 0; i < admitted; i++) {
            mLoads.update(run("i-1", "r-" + i).asEnded());
            mLoads.update(run("i-1", "r-" + i));
        }
        assertThat(isCrowded("i-1")).isFalse();
    }

    @Test
    void ofRunsThatWerePlacedTogetherAsManyStayAsTheEngineBears() {
        int most = admitted(Duration.ZERO);
        for (int i = most; i < most + 3; i++) {
            mLoads.update(run("i-1", "r-" + i));
        }
        long borne = 0;
        for (int i = 0; i < most + 3; i++) {
            borne += mLoads.keepsPlacement(run("i-1", "r-" + i), MEMORY, SPEED) ? 1 : 0;
        }
        assertThat(borne).isEqualTo(most);
    }

    @Test
    void aRunThatBeganLaterGivesWay() {
        admitted(Duration.ZERO);
        mClock.advance(Duration.ofMillis(200));
        mLoads.update(run("i-1", "a-later"));
        assertThat(mLoads.keepsPlacement(run("i-1", "a-later"), MEMORY, SPEED)).isFalse();
        assertThat(mLoads.keepsPlacement(run("i-1", "r-0"), MEMORY, SPEED)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1000, 2500, 4000, 7000})
    void aRunNeverTakesMoreThanItCan(int made) {
        List<MemoryForecast.Sequence> one =
                List.of(new MemoryForecast.Sequence(PROMPT, made, EXPECTED, MOST));
        double peak = MemoryForecast.peakTokens(one);
        assertThat(peak).isAtLeast((double) PROMPT + made);
        assertThat(peak).isAtMost((double) PROMPT + MOST);
    }

    /**
     * An engine that starts again holds nothing of what it held before.
     *
     * <p>Seen: nothing was given to an engine that had just started again. How it comes about: what
     * instances had announced for it went on to count, and instances that still waited for its old
     * answers announced it again. Cause: announcements named no more than the identity. What proves
     * it: announcements of the earlier start do not count, before and after the new one is known.
     */
    @Test
    void aNewStartHoldsNothingOfWhatTheOneBeforeHeld() {
        fill(OLD);
        assertThat(isCrowded("i-1")).isTrue();
        mLoads.onRegistration(NEW);
        assertThat(isCrowded("i-1")).isFalse();
        fill(OLD);
        assertThat(isCrowded("i-1")).isFalse();
        assertThat(mLoads.usedMemoryTokens("i-1", SPEED)).isEqualTo(0);
        fill(NEW);
        assertThat(isCrowded("i-1")).isTrue();
        mLoads.onRegistration(NEW);
        assertThat(isCrowded("i-1")).isTrue();
    }

    /** An announcement may come before the registration of the start that it is made for. */
    @Test
    void anAnnouncementThatComesBeforeTheNewStartCounts() {
        mLoads.onRegistration(OLD);
        fill(OLD);
        mLoads.update(run("i-1", "r-new").withIncarnation(NEW));
        mLoads.onRegistration(NEW);
        assertThat(mLoads.usedMemoryTokens("i-1", SPEED)).isEqualTo(PROMPT);
    }

    /** A start too far in the future is taken until it has left and is forgotten. */
    @Test
    void anEarlierStartThatIsRegisteredAfterAllTakesThePlaceOfALaterOne() {
        mLoads.onRegistration(NEW);
        mLoads.onRegistration(OLD);
        InFlightSequence run = run("i-1", "r-1").withIncarnation(OLD);
        mLoads.update(run);
        assertThat(mLoads.usedMemoryTokens("i-1", SPEED)).isEqualTo(PROMPT);
        assertThat(mLoads.keepsPlacement(run, MEMORY, SPEED)).isTrue();
    }

    /** The prompts that the one before was given are not waited for. */
    @Test
    void aNewStartHasNoPromptsToPrefill() {
        InFlightSequence prefill = InFlightSequence.ofPrefill("r-1", PROMPT);
        mLoads.update(prefill.placedAt(OLD, 1));
        assertThat(mLoads.prefillBacklogTokens("i-1")).isEqualTo(PROMPT);
        mLoads.onRegistration(NEW);
        assertThat(mLoads.prefillBacklogTokens("i-1")).isEqualTo(0);
    }

    /**
     * An instance of an earlier version states no start. What it announced before the new start was
     * known belongs to the one before, however long it is announced; what comes after counts.
     */
    @Test
    void announcementsWithoutAStartCountOnlyIfTheyBeginAfterIt() {
        mLoads.onRegistration(OLD);
        Incarnation unstated = Incarnation.ofUnknownStart("i-1");
        fill(unstated);
        mLoads.onRegistration(NEW);
        for (int i = 0; i < 10; i++) {
            fill(unstated);
            assertThat(isCrowded("i-1")).isFalse();
            mClock.advance(Duration.ofMillis(1_500));
        }
        mLoads.update(run("i-1", "r-later"));
        assertThat(mLoads.usedMemoryTokens("i-1", SPEED)).isEqualTo(PROMPT);
    }

    /** The first start that is stated is no proof that the engine has started again. */
    @Test
    void aStartThatBecomesKnownEndsNothing() {
        Incarnation unstated = Incarnation.ofUnknownStart("i-1");
        fill(unstated);
        mLoads.onRegistration(OLD);
        fill(unstated);
        assertThat(isCrowded("i-1")).isTrue();
        assertThat(mLoads.keepsPlacement(run("i-1", "r-0"), MEMORY, SPEED)).isTrue();
    }

    @Test
    void aRunWhoseEngineHasStartedAgainDoesNotKeepItsPlace() {
        InFlightSequence own = run("i-1", "r-own").withIncarnation(OLD);
        mLoads.update(own);
        assertThat(mLoads.keepsPlacement(own, MEMORY, SPEED)).isTrue();
        mLoads.onRegistration(NEW);
        assertThat(mLoads.keepsPlacement(own, MEMORY, SPEED)).isFalse();
    }

    /** Announces 40 runs, far more than an engine bears. */
    private void fill(Incarnation engine) {
        for (int i = 0; i < 40; i++) {
            mLoads.update(run("i-1", "r-" + i).withIncarnation(engine));
        }
    }

    /** Lets runs begin one after another until the engine is full; returns how many it took. */
    private int admitted(Duration apart) {
        List<InFlightSequence> admitted = new ArrayList<>();
        while (!isCrowded("i-1") && admitted.size() < 100) {
            InFlightSequence run = run("i-1", "r-" + admitted.size());
            mLoads.update(run);
            admitted.add(run);
            mClock.advance(apart);
        }
        return admitted.size();
    }

    private boolean isCrowded(String upstreamId) {
        return mLoads.saturatedEngines(run("", "candidate"), MEMORY, SPEED).contains(upstreamId);
    }

    private static InFlightSequence run(String upstreamId, String requestId) {
        return new InFlightSequence(
                Incarnation.ofUnknownStart(upstreamId),
                requestId,
                PROMPT,
                EXPECTED,
                MOST,
                0,
                false);
    }
}
