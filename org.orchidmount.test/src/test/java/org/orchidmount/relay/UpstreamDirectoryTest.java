/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.orchidmount.relay.UpstreamDirectory.Need.UNLIMITED;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.routing.PrefillRule;
import org.orchidmount.routing.UpstreamHealth;

/** Tests {@code UpstreamDirectory}. */
final class UpstreamDirectoryTest {
    private static final UpstreamDirectory.Need NEED =
            need(Stage.NONE, Set.of(), UNLIMITED, UpstreamDirectory.Backlog.OWN);

    private final ManualClock mClock = new ManualClock();
    private final UpstreamDirectory mDirectory =
            new UpstreamDirectory("a", mClock, new SplittableRandom(3));

    private static UpstreamDirectory.Need need(
            Stage stage,
            Set<String> excluded,
            int maxAssignments,
            UpstreamDirectory.Backlog backlog) {
        return new UpstreamDirectory.Need(
                "s", stage, 70, 15, true, excluded, maxAssignments, backlog);
    }

    @Test
    void theOwnZoneIsPreferredUntilItIsBusy() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "b", 2));
        assertThat(mDirectory.assign(NEED, Set.of()).get().id()).isEqualTo("i-a");
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            chosen.add(mDirectory.assign(NEED, Set.of()).get().id());
        }
        assertThat(chosen).containsExactly("i-a", "i-b");
    }

    @Test
    void whatLeavesGetsNoNewWork() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-a", "a", 1).withState(State.DRAINING));
        mDirectory.update(ready("i-a", "a", 1));
        assertThat(mDirectory.assign(NEED, Set.of())).isEmpty();
    }

    @Test
    void anAddressBelongsToTheLastThatRegisteredThere() {
        mDirectory.update(ready("i-old", "a", 1));
        mDirectory.update(ready("i-new", "a", 1));
        for (int i = 0; i < 10; i++) {
            assertThat(mDirectory.assign(NEED, Set.of()).get().id()).isEqualTo("i-new");
        }
    }

    @Test
    void whatCannotBeReachedComesLastForAWhile() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "b", 2));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        mDirectory.unreachable(assignment);
        mDirectory.release(assignment);
        assertThat(mDirectory.assign(NEED, Set.of()).get().id()).isEqualTo("i-b");
        mClock.advance(Duration.ofSeconds(10));
        assertThat(mDirectory.assign(NEED, Set.of()).get().id()).isEqualTo("i-a");
    }

    @Test
    void aFullEngineIsWaitedForAndNotTakenForLost() {
        mDirectory.update(ready("i-a", "a", 1));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        mDirectory.refused(assignment);
        mDirectory.release(assignment);
        assertThat(PrefillRule.choose(mDirectory.estimateMillis(NEED), 70, 900))
                .isEqualTo(PrefillRule.Choice.UNSPLIT_IF_IDLE);
        mClock.advance(Duration.ofSeconds(1));
        assertThat(PrefillRule.choose(mDirectory.estimateMillis(NEED), 70, 900))
                .isEqualTo(PrefillRule.Choice.SPLIT);
    }

    /** An engine that changes its stage refuses for many seconds, with its memory all but free. */
    @ParameterizedTest
    @CsvSource({"2, 120", "3, 240", "6, 1920", "9, 1920"})
    void anUpstreamThatRefusesAgainAndAgainIsLeftAloneForLonger(int refusals, long millis) {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "b", 2));
        for (int i = 0; i < refusals; i++) {
            mClock.advance(Duration.ofSeconds(3));
            refuse();
        }
        mClock.advance(Duration.ofMillis(millis - 1));
        assertThat(mDirectory.avoided("s", Stage.NONE)).containsExactly("i-a");
        mClock.advance(Duration.ofMillis(1));
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
    }

    @Test
    void refusalsOfRequestsThatWereSentTogetherCountOnce() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "b", 2));
        for (int i = 0; i < 20; i++) {
            refuse();
        }
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
    }

    @Test
    void anUpstreamThatRefusesDespiteRoomIsLeftAloneAtOnce() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "b", 2));
        Assignment assignment = mDirectory.assign(NEED, tried("i-b")).get();
        mDirectory.refusedDespiteReservation(assignment);
        mClock.advance(Duration.ofMillis(239));
        assertThat(mDirectory.avoided("s", Stage.NONE)).containsExactly("i-a");
        mClock.advance(Duration.ofMillis(1));
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
    }

    private void refuse() {
        Assignment assignment = mDirectory.assign(NEED, tried("i-b")).get();
        mDirectory.refused(assignment);
        mDirectory.release(assignment);
    }

    /**
     * An engine that crashes says nothing: its registration stays beside that of its next start.
     */
    @Test
    void aCrashedIncarnationIsNoOtherUpstream() {
        mDirectory.update(ready("i-crashed", "a", 1));
        mDirectory.update(ready("i-back", "a", 1));
        mDirectory.unreachable(mDirectory.assign(NEED, Set.of()).get());
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
    }

    @Test
    void oneThatIsEjectedIsAvoidedWhileThereIsAnother() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.unreachable(mDirectory.assign(NEED, Set.of()).get());
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
        mDirectory.update(ready("i-b", "b", 2));
        assertThat(mDirectory.avoided("s", Stage.NONE)).containsExactly("i-a");
    }

    @Test
    void waitingBehindOthersIsNotSlowness() {
        mDirectory.update(ready("i-a", "a", 1));
        UpstreamDirectory.Backlog queue = (id, ownMillis) -> 630;
        UpstreamDirectory.Need queued = need(Stage.PREFILL, Set.of(), UNLIMITED, queue);
        mDirectory.update(engine("i-p"));
        for (int i = 0; i < 20; i++) {
            Assignment assignment = mDirectory.assign(queued, Set.of()).get();
            mClock.advance(Duration.ofMillis(700));
            mDirectory.succeeded(assignment);
            mDirectory.release(assignment);
        }
        assertThat(mDirectory.estimateMillis(queued).getAsDouble()).isWithin(1).of(700);
    }

    /**
     * Guards against an upstream that nobody tries any more once it was passed over for a while.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 20, 70, 200})
    void oneThatWasPassedOverGetsItsShareAgain(int workMillis) {
        for (int machine = 1; machine <= 3; machine++) {
            mDirectory.update(ready("i-" + machine, "a", machine));
        }
        serve(200, workMillis, Set.of("i-1"));
        Map<String, Integer> served = serve(300, workMillis, Set.of());
        assertThat(served.getOrDefault("i-1", 0)).isAtLeast(50);
    }

    /** Guards against an instance that leaves all to one upstream, as others were slow once. */
    @ParameterizedTest
    @ValueSource(ints = {4, 20, 70, 200})
    void oneThatWasSlowOnceGetsItsShareAgain(int workMillis) {
        for (int machine = 1; machine <= 3; machine++) {
            mDirectory.update(ready("i-" + machine, "a", machine));
        }
        int slowMillis = workMillis + 100;
        serve(1, slowMillis, Set.of("i-2", "i-3"));
        serve(1, slowMillis, Set.of("i-1", "i-3"));
        Duration interval = Duration.ofMillis(80);
        serveAtIntervals(50, workMillis, interval);
        Map<String, Integer> served = serveAtIntervals(50, workMillis, interval);
        assertThat(served.getOrDefault("i-1", 0)).isAtLeast(8);
        assertThat(served.getOrDefault("i-2", 0)).isAtLeast(8);
    }

    private Map<String, Integer> serveAtIntervals(int requests, int workMillis, Duration interval) {
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            serve(1, workMillis, Set.of())
                    .keySet()
                    .forEach(id -> served.merge(id, 1, Integer::sum));
            mClock.advance(interval);
        }
        return served;
    }

    /** Serves requests one after another; returns how many each upstream got. */
    private Map<String, Integer> serve(int requests, int workMillis, Set<String> passedOver) {
        UpstreamDirectory.Need need =
                need(Stage.NONE, passedOver, UNLIMITED, UpstreamDirectory.Backlog.OWN);
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            Assignment assignment = mDirectory.assign(need, Set.of()).get();
            mClock.advance(Duration.ofMillis(workMillis));
            mDirectory.succeeded(assignment);
            mDirectory.release(assignment);
            served.merge(assignment.id(), 1, Integer::sum);
        }
        return served;
    }

    /** Guards against requests of the service that an upstream served before. */
    @Test
    void anUpstreamServesTheServiceThatItNamedLast() {
        mDirectory.update(ready("i-1", "a", 1));
        mDirectory.update(ready("i-2", "a", 2));
        Registration other =
                new Registration("i-1", "t", "10.0.0.1:80", "a", 4, Stage.NONE, State.READY, 2);
        mDirectory.update(other);
        assertThat(mDirectory.available("s", Stage.NONE)).hasSize(1);
        assertThat(mDirectory.available("t", Stage.NONE)).containsExactly(other.incarnation());
    }

    /** Guards against more connections to an upstream than it accepts. */
    @Test
    void anUpstreamHasNoMoreAssignmentsAtOnceThanItMay() {
        mDirectory.update(ready("i-1", "a", 1));
        mDirectory.update(ready("i-2", "a", 2));
        UpstreamDirectory.Need need = need(Stage.NONE, Set.of(), 2, UpstreamDirectory.Backlog.OWN);
        List<Assignment> held = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            held.add(mDirectory.assign(need, Set.of()).get());
        }
        assertThat(mDirectory.assign(need, Set.of())).isEmpty();
        mDirectory.release(held.getFirst());
        mDirectory.release(held.getFirst());
        assertThat(mDirectory.assign(need, Set.of()).get().id()).isEqualTo(held.getFirst().id());
        assertThat(mDirectory.assign(need, Set.of())).isEmpty();
        assertThat(mDirectory.assign(NEED, Set.of())).isPresent();
    }

    @Test
    void whatOthersHaveGivenToAnUpstreamCounts() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "b", 2));
        UpstreamDirectory.Backlog queue = (id, ownMillis) -> id.equals("i-a") ? 400 : ownMillis;
        UpstreamDirectory.Need need = need(Stage.NONE, Set.of(), UNLIMITED, queue);
        assertThat(mDirectory.assign(need, Set.of()).get().id()).isEqualTo("i-b");
    }

    @Test
    void anotherUpstreamAtTheAddressMeansThatThisOneIsGone() {
        mDirectory.update(ready("i-a", "a", 1));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        mDirectory.misdirected(assignment);
        assertThat(mDirectory.assign(NEED, Set.of())).isEmpty();
    }

    /** What makes an upstream gone, and whether it has ended without having said that it leaves. */
    @ParameterizedTest
    @CsvSource({
        "NOTHING, false, false",
        "MOVED, false, false",
        "REPLACED, false, true",
        "ADDRESS_TAKEN, false, true"
    })
    void oneWhoseAddressAnotherHasTakenHasEndedWithoutLeaving(
            Change change, boolean isLeaving, boolean hasEnded) {
        mDirectory.update(ready("i-a", "a", 1));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        change.make(mDirectory, assignment);
        change.make(mDirectory, assignment);
        assertThat(mDirectory.isLeaving(assignment)).isEqualTo(isLeaving);
        assertThat(mDirectory.hasEnded(assignment)).isEqualTo(hasEnded);
    }

    /** What is learned of an upstream while it works. */
    private enum Change {
        NOTHING {
            @Override
            void make(UpstreamDirectory directory, Assignment assignment) {}
        },
        MOVED {
            @Override
            void make(UpstreamDirectory directory, Assignment assignment) {
                directory.update(
                        new Registration(
                                "i-a", "s", "10.0.0.77:80", "a", 8, Stage.NONE, State.READY, 9));
            }
        },
        REPLACED {
            @Override
            void make(UpstreamDirectory directory, Assignment assignment) {
                directory.misdirected(assignment);
            }
        },
        ADDRESS_TAKEN {
            @Override
            void make(UpstreamDirectory directory, Assignment assignment) {
                directory.update(ready("i-b", "a", 1));
            }
        };

        abstract void make(UpstreamDirectory directory, Assignment assignment);
    }

    @ParameterizedTest
    @EnumSource(
            value = State.class,
            names = {"DRAINING", "GONE"})
    void oneThatSaysSoLeaves(State state) {
        mDirectory.update(ready("i-a", "a", 1));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        mDirectory.update(ready("i-a", "a", 1).withState(state));
        assertThat(mDirectory.isLeaving(assignment)).isTrue();
        mDirectory.misdirected(assignment);
        assertThat(mDirectory.isLeaving(assignment)).isTrue();
    }

    @Test
    void promptsAreReadWholeOnlyWithoutPrefillEnginesOrWhereThatIsIdle() {
        assertThat(PrefillRule.choose(OptionalDouble.empty(), 70, 900))
                .isEqualTo(PrefillRule.Choice.UNSPLIT);
        assertThat(PrefillRule.choose(OptionalDouble.of(100.0), 70, 900))
                .isEqualTo(PrefillRule.Choice.SPLIT);
        assertThat(PrefillRule.choose(OptionalDouble.of(600.0), 70, 900))
                .isEqualTo(PrefillRule.Choice.UNSPLIT_IF_IDLE_ELSE_SPLIT);
        assertThat(PrefillRule.choose(OptionalDouble.of(900.0), 70, 900))
                .isEqualTo(PrefillRule.Choice.UNSPLIT_IF_IDLE);
        assertThat(
                        PrefillRule.choose(
                                OptionalDouble.of(UpstreamHealth.EJECTED_MILLIS + 1), 70, 900))
                .isEqualTo(PrefillRule.Choice.UNSPLIT);
    }

    @ParameterizedTest
    @CsvSource({
        "200, 0.3, 0, 300, true",
        "200, 0.85, 0, 300, false",
        "200, 0.3, 2000, 300, false",
        "320, 0.3, 0, 300, false",
        "320, 0.3, 0, 900, true"
    })
    void anIdleEngineHoldsUpFewStreamsForAShortTime(
            double prefillMillis,
            double memoryShare,
            int reading,
            double pauseMillis,
            boolean idle) {
        assertThat(PrefillRule.isNearlyIdle(prefillMillis, memoryShare, reading, pauseMillis))
                .isEqualTo(idle);
    }

    /**
     * An upstream that starts again under its identity begins anew.
     *
     * <p>Seen: it went on being ejected, and slow, for what its earlier start had failed to do, and
     * was not used at all once that had left. How it comes about: what its calls show, and the work
     * given to it, were kept by its identity. What proves it: the same upstream with a newer start
     * is fit and idle, with the same start it is not.
     */
    @Test
    void aNewStartBeginsWithoutTheFailuresOfTheOneBefore() {
        mDirectory.update(started("i-a", 1, 10));
        mDirectory.update(ready("i-b", "a", 2));
        Assignment before = mDirectory.assign(NEED, tried("i-b")).get();
        mDirectory.unreachable(before);
        mDirectory.update(started("i-a", 1, 10));
        assertThat(mDirectory.avoided("s", Stage.NONE)).containsExactly("i-a");
        mDirectory.update(started("i-a", 1, 11));
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
        mDirectory.unreachable(before);
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
    }

    @Test
    void aNewStartBeginsWithoutTheWorkOfTheOneBefore() {
        mDirectory.update(started("i-a", 1, 10));
        double idleMillis = mDirectory.estimateMillis(NEED).getAsDouble();
        for (int i = 0; i < 12; i++) {
            mDirectory.assign(NEED, Set.of()).get();
        }
        Assignment before = mDirectory.assign(NEED, Set.of()).get();
        mDirectory.update(started("i-a", 1, 11));
        assertThat(mDirectory.estimateMillis(NEED)).hasValue(idleMillis);
        mDirectory.assign(NEED, Set.of()).get();
        double busyMillis = mDirectory.estimateMillis(NEED).getAsDouble();
        mDirectory.release(before);
        assertThat(mDirectory.estimateMillis(NEED)).hasValue(busyMillis);
    }

    @Test
    void aNewStartTakesWorkAfterTheOneBeforeHasLeft() {
        mDirectory.update(started("i-a", 1, 10).withState(State.GONE));
        mDirectory.update(started("i-a", 2, 11));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        assertThat(assignment.peer().host()).isEqualTo("10.0.0.2");
    }

    @Test
    void aNewStartTakesItsAddressBack() {
        mDirectory.update(started("i-a", 1, 10));
        mDirectory.update(ready("i-b", "a", 1));
        mDirectory.update(started("i-a", 1, 11));
        assertThat(mDirectory.assign(NEED, Set.of()).get().id()).isEqualTo("i-a");
        assertThat(mDirectory.assign(NEED, Set.of(Incarnation.startedAt("i-a", 11))).get().id())
                .isEqualTo("i-a");
    }

    @Test
    void anOlderStartThatArrivesLateChangesNothing() {
        mDirectory.update(started("i-a", 2, 11));
        mDirectory.update(started("i-a", 1, 10).withState(State.GONE));
        mDirectory.update(ready("i-a", "a", 1).withState(State.GONE));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        assertThat(assignment.peer().host()).isEqualTo("10.0.0.2");
    }

    /** One that was too far in the future, and has left and been forgotten by the registry. */
    @Test
    void anEarlierStartIsTakenOnceTheLaterOneHasLeft() {
        mDirectory.update(started("i-a", 1, 11));
        mDirectory.update(started("i-a", 1, 11).withState(State.GONE));
        mDirectory.update(started("i-a", 2, 10));
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        assertThat(assignment.peer().host()).isEqualTo("10.0.0.2");
    }

    /** An answer of another upstream at the old address says nothing of the new start. */
    @Test
    void whatIsLearnedOfTheOneBeforeDoesNotConcernTheNewStart() {
        mDirectory.update(started("i-a", 1, 10));
        Assignment before = mDirectory.assign(NEED, Set.of()).get();
        mDirectory.update(started("i-a", 2, 11));
        mDirectory.misdirected(before);
        assertThat(mDirectory.assign(NEED, Set.of())).isPresent();
    }

    @Test
    void workOfTheOneBeforeIsToldFromThatOfTheNewStart() {
        mDirectory.update(started("i-a", 1, 10));
        Assignment before = mDirectory.assign(NEED, Set.of()).get();
        assertThat(before.hasRestarted()).isFalse();
        mDirectory.update(started("i-a", 1, 10).withState(State.DRAINING));
        assertThat(before.hasRestarted()).isFalse();
        mDirectory.update(started("i-a", 1, 11));
        assertThat(before.hasRestarted()).isTrue();
        assertThat(mDirectory.assign(NEED, Set.of()).get().hasRestarted()).isFalse();
    }

    /**
     * Instances of earlier versions pass no starts on, so a start may become known while work is
     * under way. That is no proof that the upstream has started again.
     */
    @Test
    void aStartThatBecomesKnownEndsNothing() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "a", 2));
        Assignment assignment = mDirectory.assign(NEED, tried("i-b")).get();
        mDirectory.unreachable(assignment);
        mDirectory.update(started("i-a", 3, 10));
        assertThat(assignment.hasRestarted()).isFalse();
        assertThat(mDirectory.avoided("s", Stage.NONE)).containsExactly("i-a");
        mClock.advance(Duration.ofSeconds(10));
        Assignment next = mDirectory.assign(NEED, tried("i-b")).get();
        assertThat(next.peer().host()).isEqualTo("10.0.0.3");
        mDirectory.update(started("i-a", 3, 11));
        assertThat(assignment.hasRestarted()).isTrue();
    }

    /** One that leaves may name any address; the one that works there keeps it. */
    @Test
    void anAddressIsNotLostToOneThatLeaves() {
        mDirectory.update(ready("i-a", "a", 1));
        mDirectory.update(ready("i-b", "a", 2));
        Registration leaving =
                new Registration("i-b", "s", "10.0.0.1:80", "a", 4, Stage.NONE, State.DRAINING, 2);
        mDirectory.update(leaving);
        assertThat(mDirectory.assign(NEED, Set.of()).get().id()).isEqualTo("i-a");
    }

    /** A request that failed at the one before may go to the new start as to any other. */
    @Test
    void aNewStartOfOneThatWasTriedIsUntried() {
        mDirectory.update(started("i-a", 1, 10));
        mDirectory.update(ready("i-b", "b", 2));
        Assignment before = mDirectory.assign(NEED, Set.of()).get();
        assertThat(before.id()).isEqualTo("i-a");
        Set<Incarnation> tried = Set.of(before.incarnation());
        assertThat(mDirectory.assign(NEED, tried).get().id()).isEqualTo("i-b");
        mDirectory.update(started("i-a", 1, 11));
        assertThat(mDirectory.assign(NEED, tried).get().id()).isEqualTo("i-a");
    }

    /** A connection to the one before must not carry a request to the new start. */
    @Test
    void connectionsOfTheOneBeforeAreNotThoseOfTheNewStart() {
        mDirectory.update(started("i-a", 1, 10));
        Assignment before = mDirectory.assign(NEED, Set.of()).get();
        mDirectory.update(started("i-a", 1, 11));
        Assignment after = mDirectory.assign(NEED, Set.of()).get();
        assertThat(after.peer()).isNotEqualTo(before.peer());
        assertThat(after.id()).isEqualTo(before.id());
    }

    private static Set<Incarnation> tried(String id) {
        return Set.of(Incarnation.ofUnknownStart(id));
    }

    private static Registration started(String id, int machine, long startMillis) {
        return ready(id, "a", machine).withIncarnation(Incarnation.startedAt(id, startMillis));
    }

    private static Registration engine(String id) {
        return new Registration(id, "s", "10.0.0.9:80", "a", 4, Stage.PREFILL, State.READY, 1);
    }

    /** Guards against a version that is guessed while there is another one, or an unknown one. */
    @ParameterizedTest
    @CsvSource({"v1, v1", "v2, ''", "'', ''"})
    void aServiceHasAnOnlyVersionIfAllItsUpstreamsStateIt(String other, String only) {
        mDirectory.update(ready("i-a", "a", 1).withVersion(Optional.of("v1")));
        Registration second =
                ready("i-b", "a", 2)
                        .withVersion(Optional.of(other).filter(version -> !version.isEmpty()));
        mDirectory.update(second);
        mDirectory.update(second.withState(State.GONE));
        assertThat(mDirectory.onlyVersion("s", Stage.NONE).orElse("")).isEqualTo(only);
    }

    /**
     * Guards against a heartbeat of an incarnation that has crashed, which arrives once another one
     * is registered at its address: the other one must get work again.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aLateHeartbeatDoesNotKeepAnAddressFromItsOwner(boolean isGoneByAnswer) {
        Registration owner = ready("i-new", "a", 1).withVersion(Optional.of("v2"));
        Registration late = ready("i-old", "a", 1).withVersion(Optional.of("v1"));
        mDirectory.update(owner);
        mDirectory.update(late);
        if (isGoneByAnswer) {
            mDirectory.misdirected(mDirectory.assign(NEED, Set.of()).get());
        } else {
            mDirectory.update(late.withState(State.GONE));
        }
        Assignment assignment = mDirectory.assign(NEED, Set.of()).get();
        assertThat(assignment.incarnation()).isEqualTo(owner.incarnation());
        assertThat(assignment.registration().version()).hasValue("v2");
    }

    private static Registration ready(String id, String zone, int machine) {
        return new Registration(
                id, "s", "10.0.0." + machine + ":80", zone, 4, Stage.NONE, State.READY, 1);
    }
}
