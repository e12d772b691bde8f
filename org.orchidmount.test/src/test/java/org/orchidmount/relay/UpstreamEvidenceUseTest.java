/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.UpstreamEvidence;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.evidence.UpstreamEvidenceView;
import org.orchidmount.evidence.UpstreamObservations;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.EngineSpeedEstimator;
import org.orchidmount.routing.PrefillRule;
import org.orchidmount.routing.UpstreamHealth;

/** Tests the use of shared evidence in {@code UpstreamDirectory} and {@code EngineCosts}. */
final class UpstreamEvidenceUseTest {
    private static final int MEMORY_TOKENS = 74_000;
    private static final Service SERVICE =
            new Service("s", Optional.of(new Service.Engine(MEMORY_TOKENS, 70)));

    private final ManualClock mClock = new ManualClock();
    private final AtomicBoolean mInForce = new AtomicBoolean(true);
    private final UpstreamEvidenceView mEvidence =
            new UpstreamEvidenceView("n0", "a", () -> 2, mInForce::get, mClock);
    private final UpstreamDirectory mDirectory =
            new UpstreamDirectory("a", mClock, new SplittableRandom(3), mEvidence);

    private static Registration registration(int number, Stage stage) {
        String address = "10.0.0." + number + ":80";
        String zone = number % 2 == 0 ? "a" : "b";
        return new Registration("i" + number, "s", address, zone, 4, stage, State.READY, 1);
    }

    private void register(int upstreams, Stage stage) {
        for (int i = 0; i < upstreams; i++) {
            mDirectory.update(registration(i, stage));
        }
    }

    private static UpstreamDirectory.Need need(Stage stage) {
        return new UpstreamDirectory.Need(
                "s",
                stage,
                70,
                15,
                true,
                Set.of(),
                UpstreamDirectory.Need.UNLIMITED,
                UpstreamDirectory.Backlog.OWN);
    }

    private static EvidenceDigest failing(String id) {
        return new EvidenceDigest(
                List.of(
                        new UpstreamEvidence(
                                Incarnation.ofUnknownStart(id),
                                List.of(new Witness("n1", "a", 0), new Witness("n2", "b", 0)),
                                UpstreamEvidence.NEVER,
                                0.05,
                                0,
                                0)));
    }

    private static EvidenceDigest slow(String id, double slowness) {
        return new EvidenceDigest(
                List.of(
                        new UpstreamEvidence(
                                Incarnation.ofUnknownStart(id),
                                List.of(),
                                UpstreamEvidence.NEVER,
                                0,
                                Math.log(slowness),
                                1e4)));
    }

    /** Guards against each entry having to lose a request at a dark upstream. */
    @ParameterizedTest
    @EnumSource(Stage.class)
    void anUpstreamThatOthersSawFailIsNotTried(Stage stage) {
        register(4, stage);
        mEvidence.receiver().onDigest("v", failing("i0"));
        assertThat(mDirectory.avoided("s", stage)).containsExactly("i0");
        for (int i = 0; i < 20; i++) {
            assertThat(mDirectory.assign(need(stage), Set.of()).get().id()).isNotEqualTo("i0");
        }
    }

    /** Guards against more than one request of this entry at an upstream that may still be dark. */
    @Test
    void afterTheEjectionOneRequestIsTheProbe() {
        register(4, Stage.NONE);
        mEvidence.receiver().onDigest("v", failing("i0"));
        List<Assignment> others = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            others.add(mDirectory.assign(need(Stage.NONE), Set.of()).get());
        }
        mClock.advance(Duration.ofSeconds(5));
        Assignment probe = mDirectory.assign(need(Stage.NONE), Set.of()).get();
        assertThat(probe.id()).isEqualTo("i0");
        assertThat(mDirectory.avoided("s", Stage.NONE)).containsExactly("i0");
        mDirectory.succeeded(probe);
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
    }

    /** Guards against prefilling nowhere because all prefill engines are ejected. */
    @Test
    void halfOfAServiceStaysInService() {
        register(2, Stage.PREFILL);
        mEvidence.receiver().onDigest("v", failing("i0"));
        mEvidence.receiver().onDigest("v", failing("i1"));
        OptionalDouble millis = mDirectory.estimateMillis(need(Stage.PREFILL));
        assertThat(millis.getAsDouble()).isLessThan(UpstreamHealth.EJECTED_MILLIS);
    }

    /** Guards against estimates and time-outs at the mean speed for an engine that is slower. */
    @ParameterizedTest
    @CsvSource({"PREFILL, 2, 140", "DECODE, 2, 140", "PREFILL, 0.5, 35", "NONE, 2, 70"})
    void estimatesUseTheSpeedOfTheEngine(Stage stage, double slowness, double millis) {
        register(1, stage);
        mEvidence.receiver().onDigest("v", slow("i0", slowness));
        assertThat(mDirectory.estimateMillis(need(stage)).getAsDouble()).isWithin(0.1).of(millis);
        Assignment assignment = mDirectory.assign(need(stage), Set.of()).get();
        assertThat(assignment.nominalMillis()).isWithin(0.1).of(millis);
    }

    /** Guards against an upstream that fails one request in five costing as much as the others. */
    @Test
    void failuresCostTheTimeThatTheyLose() {
        register(1, Stage.NONE);
        UpstreamEvidence flaky =
                new UpstreamEvidence(Incarnation.ofUnknownStart("i0"), List.of(), 0, 0.2, 0, 0);
        mEvidence.receiver().onDigest("v", new EvidenceDigest(List.of(flaky)));
        assertThat(mEvidence.failureMillis("i0")).isWithin(1e-6).of(60);
        assertThat(mDirectory.avoided("s", Stage.NONE)).isEmpty();
    }

    /** Guards against observations that no report contains. */
    @Test
    void outcomesAreReported() {
        register(1, Stage.NONE);
        Assignment assignment = mDirectory.assign(need(Stage.NONE), Set.of()).get();
        mDirectory.succeeded(assignment);
        mDirectory.failed(assignment);
        mDirectory.unreachable(assignment);
        mDirectory.refused(assignment);
        assertThat(mEvidence.source().drain().get().observations())
                .containsExactly(new UpstreamObservations(assignment.incarnation(), 1, 1, 1, 0, 0));
    }

    /**
     * Guards against any change of a decision in a site without shared state: a directory with
     * evidence that is not in force decides as one without, in every step of random histories.
     */
    @ParameterizedTest
    @EnumSource(Stage.class)
    void notInForceEveryDecisionIsAsWithout(Stage stage) {
        mInForce.set(false);
        UpstreamDirectory without = new UpstreamDirectory("a", mClock, new SplittableRandom(3));
        SplittableRandom random = new SplittableRandom(stage.ordinal());
        register(6, stage);
        for (int i = 0; i < 6; i++) {
            without.update(registration(i, stage));
        }
        List<Assignment> open = new ArrayList<>();
        List<Assignment> openWithout = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            String id = "i" + random.nextInt(6);
            mEvidence.receiver().onDigest("v", random.nextBoolean() ? failing(id) : slow(id, 2));
            assertThat(mDirectory.avoided("s", stage)).isEqualTo(without.avoided("s", stage));
            assertThat(mDirectory.estimateMillis(need(stage)))
                    .isEqualTo(without.estimateMillis(need(stage)));
            Assignment chosen = mDirectory.assign(need(stage), Set.of()).get();
            Assignment expected = without.assign(need(stage), Set.of()).get();
            assertThat(chosen.id()).isEqualTo(expected.id());
            assertThat(chosen.nominalMillis()).isEqualTo(expected.nominalMillis());
            open.add(chosen);
            openWithout.add(expected);
            mClock.advance(Duration.ofMillis(random.nextInt(60)));
            int ended = random.nextInt(open.size());
            int outcome = random.nextInt(5);
            end(mDirectory, open.remove(ended), outcome);
            end(without, openWithout.remove(ended), outcome);
        }
        assertThat(mEvidence.source().drain()).isEmpty();
        assertThat(mEvidence.source().isUrgent()).isFalse();
    }

    private static void end(UpstreamDirectory directory, Assignment assignment, int outcome) {
        switch (outcome) {
            case 0 -> directory.failed(assignment);
            case 1 -> directory.unreachable(assignment);
            case 2 -> directory.refused(assignment);
            default -> directory.succeeded(assignment);
        }
        directory.release(assignment);
    }

    private RelayContext context(EngineLoads loads) {
        return new RelayContext(
                mDirectory,
                null,
                new ConcurrentHashMap<>(),
                null,
                null,
                null,
                loads,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                mClock);
    }

    /**
     * Guards against slow engines that get work while fast ones have memory. The memory of all
     * engines fills evenly only if the slowness has no effect.
     */
    @ParameterizedTest
    @CsvSource({"true, 0.6, 0", "true, 0.9, 0", "false, 0.6, 24"})
    void slowEnginesGetWorkOnlyWhenFastOnesAreNearlyFull(
            boolean inForce, double filled, int atLeastOnSlow) {
        mInForce.set(inForce);
        EngineLoads loads = new EngineLoads(mClock);
        RelayContext context = context(loads);
        EngineCosts costs = new EngineCosts(context, SERVICE, 5_000, Duration.ofMillis(300));
        int engines = 8;
        for (int i = 0; i < engines; i++) {
            mDirectory.update(registration(2 * i, Stage.DECODE));
            // A quarter at 0.55 of the speed of a service whose mean is 1.04.
            mEvidence.receiver().onDigest("v", slow("i" + 2 * i, i < 2 ? 1.9 : 0.87));
        }
        UpstreamDirectory.Need need =
                new UpstreamDirectory.Need(
                        "s",
                        Stage.DECODE,
                        costs.requestMillis(),
                        30,
                        true,
                        Set.of(),
                        UpstreamDirectory.Need.UNLIMITED,
                        costs);
        int onSlow = 0;
        double fastTokens = filled * 6 * MEMORY_TOKENS;
        int requests = (int) (fastTokens / 5_000);
        for (int i = 0; i < requests; i++) {
            Assignment assignment = mDirectory.assign(need, Set.of()).get();
            mDirectory.release(assignment);
            onSlow += assignment.id().equals("i0") || assignment.id().equals("i2") ? 1 : 0;
            loads.update(
                    InFlightSequence.ofOutput("r" + i, 5_000, 4_900, Integer.MAX_VALUE)
                            .placedAt(assignment.incarnation(), 1));
        }
        if (atLeastOnSlow == 0) {
            assertThat(onSlow).isEqualTo(0);
        } else {
            assertThat(onSlow).isAtLeast(requests / 5);
        }
    }

    /**
     * Guards against an engine whose outputs look nearly complete because its speed is
     * overestimated: it is given more than its memory holds.
     */
    @ParameterizedTest
    @CsvSource({"0.5, 1", "1, 1", "2, 2"})
    void sequencesNeverGrowFasterThanAtTheMeanSpeed(double slowness, double expected) {
        mDirectory.update(registration(0, Stage.DECODE));
        mEvidence.receiver().onDigest("v", slow("i0", slowness));
        RelayContext context = context(new EngineLoads(mClock));
        EngineCosts costs = new EngineCosts(context, SERVICE, 5_000, Duration.ofMillis(300));
        double mean = new EngineSpeedEstimator().speed().outputTokensPerMilli();
        assertThat(mean / costs.growthSpeed("i0").outputTokensPerMilli())
                .isWithin(0.2)
                .of(expected);
    }

    /** Guards against a forecast of memory at the mean speed for an engine that is slower. */
    @Test
    void memoryGrowsAtTheSpeedOfTheEngine() {
        EngineSpeed speed = new EngineSpeedEstimator().speed();
        EngineLoads loads = new EngineLoads(mClock);
        loads.update(
                InFlightSequence.ofOutput("r", 1_000, 4_900, Integer.MAX_VALUE)
                        .placedAt(Incarnation.ofUnknownStart("i0"), 1));
        mClock.advance(Duration.ofSeconds(2));
        double mean = loads.usedMemoryTokens("i0", speed) - 1_000;
        double slowed = loads.usedMemoryTokens("i0", speed.slowedBy(2)) - 1_000;
        assertThat(slowed).isLessThan(0.5 * mean);
        InFlightSequence next = InFlightSequence.ofOutput("n", 1_000, 1, Integer.MAX_VALUE);
        List<String> asked = new ArrayList<>();
        loads.saturatedEngines(
                next,
                10_000,
                id -> {
                    asked.add(id);
                    return speed;
                });
        assertThat(asked).containsExactly("i0");
    }

    /** Guards against a prefill that pauses the other streams of a slow engine. */
    @ParameterizedTest
    @CsvSource({"200, 1000, 300, false", "301, 1000, 300, true", "301, 0, 300, false"})
    void aPrefillPausesTheOtherStreamsOnly(
            double prefillMillis, double usedTokens, double gapMillis, boolean pauses) {
        assertThat(PrefillRule.pausesTooLong(prefillMillis, usedTokens, gapMillis))
                .isEqualTo(pauses);
    }
}
