/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.Pin;
import org.orchidmount.limits.WindowRetryBudget;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.routing.ClientRetryDetector;
import org.orchidmount.routing.MemoryWaitRule;
import org.orchidmount.routing.OutputLengthEstimator;
import org.orchidmount.routing.PrefillRule;

/** The rules by which the relay decides give what they gave. */
final class RelayRulesPinTest {
    @Test
    void upstreamsAreChosenAsTheyWere() {
        List<String> lines = new ArrayList<>();
        for (Stage stage : Stage.values()) {
            choices(stage).forEach(line -> lines.add(stage + " " + line));
        }
        Pin.check("upstream-choice.txt", lines);
    }

    /** Plays a random sequence of calls, and records each choice and each estimate. */
    private static List<String> choices(Stage stage) {
        ManualClock clock = new ManualClock();
        UpstreamDirectory directory =
                new UpstreamDirectory("zone-0", clock, new SplittableRandom(3));
        for (int i = 0; i < 5; i++) {
            directory.update(registration(i, stage));
        }
        SplittableRandom random = new SplittableRandom(21);
        List<Assignment> held = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            clock.advance(Duration.ofMillis(random.nextInt(90)));
            double work = 20 + random.nextInt(150);
            Set<Incarnation> avoided =
                    random.nextInt(4) == 0 ? Set.of(incarnation(0), incarnation(1)) : Set.of();
            Set<String> excluded = random.nextInt(5) == 0 ? Set.of("u-2") : Set.of();
            UpstreamDirectory.Backlog queue =
                    random.nextInt(3) == 0
                            ? (id, own) -> own + 10 * id.charAt(2)
                            : UpstreamDirectory.Backlog.OWN;
            UpstreamDirectory.Need need =
                    new UpstreamDirectory.Need(
                            "s",
                            stage,
                            work,
                            15,
                            random.nextBoolean(),
                            excluded,
                            UpstreamDirectory.Need.UNLIMITED,
                            queue);
            Optional<Assignment> assignment = directory.assign(need, avoided);
            assignment.ifPresent(held::add);
            String outcome = held.isEmpty() ? "" : outcome(directory, held, random);
            String chosen = assignment.map(Assignment::id).orElse("none");
            double done = assignment.map(Assignment::nominalMillis).orElse(0.0);
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%d: %s done in %.3f, best %.3f%s",
                            i,
                            chosen,
                            done,
                            directory.estimateMillis(need).orElse(-1.0),
                            outcome));
        }
        return lines;
    }

    private static String outcome(
            UpstreamDirectory directory, List<Assignment> held, SplittableRandom random) {
        Assignment assignment = held.remove(random.nextInt(held.size()));
        int kind = random.nextInt(12);
        String text;
        if (kind < 7) {
            directory.release(assignment);
            directory.succeeded(assignment);
            text = "succeeded";
        } else if (kind < 9) {
            directory.failed(assignment);
            text = "failed";
        } else if (kind < 11) {
            directory.refused(assignment);
            text = "full";
        } else {
            directory.unreachable(assignment);
            text = "unreachable";
        }
        directory.release(assignment);
        return ", " + assignment.id() + " " + text;
    }

    private static Incarnation incarnation(int number) {
        return Incarnation.ofUnknownStart("u-" + number);
    }

    private static Registration registration(int number, Stage stage) {
        String address = "10.0.0." + number + ":80";
        String zone = "zone-" + number % 2;
        return new Registration(incarnation(number), "s", address, zone, 4, stage, State.READY, 1);
    }

    @Test
    void retriesAreTakenAsTheyWere() {
        List<String> lines = new ArrayList<>();
        for (double ratio : new double[] {0, 0.2}) {
            for (int slack : new int[] {0, 8, 56}) {
                lines.add("ratio %s, slack %d: %s".formatted(ratio, slack, taken(ratio, slack)));
            }
        }
        Pin.check("extra-attempts.txt", lines);
    }

    private static String taken(double ratio, int slack) {
        WindowRetryBudget.Limit limit =
                new WindowRetryBudget.Limit(ratio, Duration.ofSeconds(10), slack);
        ManualClock clock = new ManualClock();
        AtomicInteger instances = new AtomicInteger();
        WindowRetryBudget budget = new WindowRetryBudget(limit, instances::get, clock);
        SplittableRandom random = new SplittableRandom(31);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 1_500; i++) {
            clock.advance(Duration.ofNanos(random.nextLong(30_000_000)));
            if (random.nextInt(3) > 0) {
                budget.recordRequest();
            } else {
                instances.set(1 + random.nextInt(4));
                text.append(budget.tryAcquire() ? '1' : '0');
            }
        }
        return text.toString();
    }

    @Test
    void outputsAreSizedAsTheyWere() {
        OutputLengthEstimator lengths = new OutputLengthEstimator();
        SplittableRandom random = new SplittableRandom(41);
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int expected = random.nextInt(5) == 0 ? 0 : random.nextInt(6_000);
            int most = random.nextInt(5) == 0 ? 0 : 50 + random.nextInt(8_000);
            OutputLengthEstimator.StatedLength stated =
                    new OutputLengthEstimator.StatedLength(expected, most);
            lengths.observe(stated);
            int needed = lengths.expect(stated) + random.nextInt(9_000);
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "expected %d, most %d: expect %d, reserve %d; %d tokens wait %.5f",
                            expected,
                            most,
                            lengths.expect(stated),
                            lengths.reserve(stated),
                            needed,
                            longestWait(lengths.relativeSize(needed))));
        }
        Pin.check("answer-sizes.txt", lines);
    }

    /** The share of its target that a new request may wait for memory. */
    private static double longestWait(double relativeSize) {
        Duration target = Duration.ofSeconds(1);
        return MemoryWaitRule.forNewRequest(relativeSize, target).toNanos()
                / (double) target.toNanos();
    }

    @Test
    void clientRetriesAreKnownAsTheyWere() {
        ClientRetryDetector retries = new ClientRetryDetector(new ManualClock());
        SplittableRandom random = new SplittableRandom(51);
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String route = "route-" + random.nextInt(2);
            Duration waits = Duration.ofMillis(9_000 + random.nextInt(2_000));
            lines.add(route + " " + waits + ": " + retries.isRetry(route, waits));
        }
        Pin.check("returning-requests.txt", lines);
    }

    @Test
    void promptsAreSplitAsTheyWere() {
        List<String> lines = new ArrayList<>();
        for (double target : new double[] {300, 900}) {
            lines.add("no prefill engine: " + choice(OptionalDouble.empty(), target));
            for (double millis = 0; millis < 1_200; millis += 15) {
                lines.add(
                        "%s of %s ms: %s"
                                .formatted(
                                        millis, target, choice(OptionalDouble.of(millis), target)));
            }
        }
        lines.add("avoided: " + choice(OptionalDouble.of(100_000.0), 900));
        lines.add("nearly avoided: " + choice(OptionalDouble.of(99_999.0), 900));
        for (int tokens = 500; tokens < 12_000; tokens += 500) {
            for (double share : new double[] {0, 0.79, 0.8, 0.9}) {
                for (int reading : new int[] {0, 1}) {
                    lines.add(
                            "%d tokens, share %s, reading %d: %s"
                                    .formatted(
                                            tokens,
                                            share,
                                            reading,
                                            PrefillRule.isNearlyIdle(
                                                    tokens / 25.0, share, reading, 300)));
                }
            }
        }
        Pin.check("prompt-split.txt", lines);
    }

    /** Names a choice as the pin does, which is older than the present names. */
    private static String choice(OptionalDouble prefillMillis, double targetMillis) {
        return PrefillRule.choose(prefillMillis, 0, targetMillis)
                .name()
                .replace("UNSPLIT", "WHOLE");
    }
}
