/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/** Tests {@code UpstreamBook}. */
final class UpstreamBookTest {
    private static final UpstreamBook.Need NEED =
            new UpstreamBook.Need("s", Stage.NONE, 70, 15, true, Set.of(), UpstreamBook.Queue.OWN);

    private final ManualClock mClock = new ManualClock();
    private final UpstreamBook mBook = new UpstreamBook("a", mClock, new SplittableRandom(3));

    @Test
    void theOwnZoneIsPreferredUntilItIsBusy() {
        mBook.apply(ready("i-a", "a", 1));
        mBook.apply(ready("i-b", "b", 2));
        assertThat(mBook.lease(NEED, Set.of()).get().id()).isEqualTo("i-a");
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            chosen.add(mBook.lease(NEED, Set.of()).get().id());
        }
        assertThat(chosen).containsExactly("i-a", "i-b");
    }

    @Test
    void whatLeavesGetsNoNewWork() {
        mBook.apply(ready("i-a", "a", 1));
        mBook.apply(ready("i-a", "a", 1).in(State.DRAINING));
        mBook.apply(ready("i-a", "a", 1));
        assertThat(mBook.lease(NEED, Set.of())).isEmpty();
    }

    @Test
    void anAddressBelongsToTheLastThatRegisteredThere() {
        mBook.apply(ready("i-old", "a", 1));
        mBook.apply(ready("i-new", "a", 1));
        for (int i = 0; i < 10; i++) {
            assertThat(mBook.lease(NEED, Set.of()).get().id()).isEqualTo("i-new");
        }
    }

    @Test
    void whatCannotBeReachedComesLastForAWhile() {
        mBook.apply(ready("i-a", "a", 1));
        mBook.apply(ready("i-b", "b", 2));
        Lease lease = mBook.lease(NEED, Set.of()).get();
        mBook.unreachable(lease);
        mBook.release(lease);
        assertThat(mBook.lease(NEED, Set.of()).get().id()).isEqualTo("i-b");
        mClock.advance(Duration.ofSeconds(10));
        assertThat(mBook.lease(NEED, Set.of()).get().id()).isEqualTo("i-a");
    }

    @Test
    void aFullEngineIsWaitedForAndNotTakenForLost() {
        mBook.apply(ready("i-a", "a", 1));
        Lease lease = mBook.lease(NEED, Set.of()).get();
        mBook.full(lease);
        mBook.release(lease);
        assertThat(StagePolicy.choose(mBook.estimate(NEED), 900))
                .isEqualTo(StagePolicy.Choice.WHOLE_IF_IDLE);
        mClock.advance(Duration.ofSeconds(1));
        assertThat(StagePolicy.choose(mBook.estimate(NEED), 900))
                .isEqualTo(StagePolicy.Choice.SPLIT);
    }

    @Test
    void waitingBehindOthersIsNotSlowness() {
        mBook.apply(ready("i-a", "a", 1));
        UpstreamBook.Queue queue = (id, ownMillis) -> 630;
        UpstreamBook.Need queued =
                new UpstreamBook.Need("s", Stage.PREFILL, 70, 15, true, Set.of(), queue);
        mBook.apply(engine("i-p"));
        for (int i = 0; i < 20; i++) {
            Lease lease = mBook.lease(queued, Set.of()).get();
            mClock.advance(Duration.ofMillis(700));
            mBook.succeeded(lease);
            mBook.release(lease);
        }
        assertThat(mBook.estimate(queued).get()).isWithin(1).of(700);
    }

    @Test
    void whatOthersHaveGivenToAnUpstreamCounts() {
        mBook.apply(ready("i-a", "a", 1));
        mBook.apply(ready("i-b", "b", 2));
        UpstreamBook.Queue queue = (id, ownMillis) -> id.equals("i-a") ? 400 : ownMillis;
        UpstreamBook.Need need =
                new UpstreamBook.Need("s", Stage.NONE, 70, 15, true, Set.of(), queue);
        assertThat(mBook.lease(need, Set.of()).get().id()).isEqualTo("i-b");
    }

    @Test
    void anotherUpstreamAtTheAddressMeansThatThisOneIsGone() {
        mBook.apply(ready("i-a", "a", 1));
        Lease lease = mBook.lease(NEED, Set.of()).get();
        mBook.misdirected(lease);
        assertThat(mBook.lease(NEED, Set.of())).isEmpty();
    }

    @Test
    void promptsAreReadWholeOnlyWithoutPrefillEnginesOrWhereThatIsIdle() {
        assertThat(StagePolicy.choose(Optional.empty(), 900)).isEqualTo(StagePolicy.Choice.WHOLE);
        assertThat(StagePolicy.choose(Optional.of(100.0), 900)).isEqualTo(StagePolicy.Choice.SPLIT);
        assertThat(StagePolicy.choose(Optional.of(600.0), 900))
                .isEqualTo(StagePolicy.Choice.WHOLE_IF_IDLE_ELSE_SPLIT);
        assertThat(StagePolicy.choose(Optional.of(900.0), 900))
                .isEqualTo(StagePolicy.Choice.WHOLE_IF_IDLE);
        assertThat(StagePolicy.choose(Optional.of(Upstream.AVOIDED_MILLIS + 1), 900))
                .isEqualTo(StagePolicy.Choice.WHOLE);
    }

    @ParameterizedTest
    @CsvSource({
        "5000, 0.3, 0, 300, true",
        "5000, 0.6, 0, 300, false",
        "5000, 0.3, 2000, 300, false",
        "8000, 0.3, 0, 300, false",
        "8000, 0.3, 0, 900, true"
    })
    void anIdleEngineHoldsUpFewStreamsForAShortTime(
            int prompt, double memoryShare, int reading, double pauseMillis, boolean idle) {
        assertThat(StagePolicy.isIdle(prompt, memoryShare, reading, pauseMillis)).isEqualTo(idle);
    }

    private static Registration engine(String id) {
        return new Registration(id, "s", "10.0.0.9:80", "a", 4, Stage.PREFILL, State.READY, 1);
    }

    private static Registration ready(String id, String zone, int machine) {
        return new Registration(
                id, "s", "10.0.0." + machine + ":80", zone, 4, Stage.NONE, State.READY, 1);
    }
}
