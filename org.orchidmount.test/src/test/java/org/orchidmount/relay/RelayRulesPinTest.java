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
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.Pin;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

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
        UpstreamBook book = new UpstreamBook("zone-0", clock, new SplittableRandom(3));
        for (int i = 0; i < 5; i++) {
            book.apply(registration(i, stage));
        }
        SplittableRandom random = new SplittableRandom(21);
        List<Lease> held = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            clock.advance(Duration.ofMillis(random.nextInt(90)));
            double work = 20 + random.nextInt(150);
            Set<String> avoided = random.nextInt(4) == 0 ? Set.of("u-0", "u-1") : Set.of();
            Set<String> excluded = random.nextInt(5) == 0 ? Set.of("u-2") : Set.of();
            UpstreamBook.Queue queue =
                    random.nextInt(3) == 0
                            ? (id, own) -> own + 10 * id.charAt(2)
                            : UpstreamBook.Queue.OWN;
            UpstreamBook.Need need =
                    new UpstreamBook.Need(
                            "s", stage, work, 15, random.nextBoolean(), excluded, queue);
            Optional<Lease> lease = book.lease(need, avoided);
            lease.ifPresent(held::add);
            String outcome = held.isEmpty() ? "" : outcome(book, held, random);
            String chosen = lease.map(Lease::id).orElse("none");
            double done = lease.map(Lease::doneMillis).orElse(0.0);
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%d: %s done in %.3f, best %.3f%s",
                            i,
                            chosen,
                            done,
                            book.estimate(need).orElse(-1.0),
                            outcome));
        }
        return lines;
    }

    private static String outcome(UpstreamBook book, List<Lease> held, SplittableRandom random) {
        Lease lease = held.remove(random.nextInt(held.size()));
        int kind = random.nextInt(12);
        String text;
        if (kind < 7) {
            book.answered(lease);
            book.succeeded(lease);
            text = "succeeded";
        } else if (kind < 9) {
            book.failed(lease);
            text = "failed";
        } else if (kind < 11) {
            book.full(lease);
            text = "full";
        } else {
            book.unreachable(lease);
            text = "unreachable";
        }
        book.release(lease);
        return ", " + lease.id() + " " + text;
    }

    private static Registration registration(int number, Stage stage) {
        String address = "10.0.0." + number + ":80";
        String zone = "zone-" + number % 2;
        return new Registration("u-" + number, "s", address, zone, 4, stage, State.READY, 1);
    }

    @Test
    void extraAttemptsAreTakenAsTheyWere() {
        List<String> lines = new ArrayList<>();
        for (double ratio : new double[] {0, 0.2}) {
            for (int slack : new int[] {0, 8, 56}) {
                lines.add("ratio %s, slack %d: %s".formatted(ratio, slack, taken(ratio, slack)));
            }
        }
        Pin.check("extra-attempts.txt", lines);
    }

    private static String taken(double ratio, int slack) {
        Relay.RetryLimit limit = new Relay.RetryLimit(ratio, Duration.ofSeconds(10), slack);
        ExtraAttempts extras = new ExtraAttempts(limit);
        SplittableRandom random = new SplittableRandom(31);
        StringBuilder text = new StringBuilder();
        long nanos = 0;
        for (int i = 0; i < 1_500; i++) {
            nanos += random.nextLong(30_000_000);
            if (random.nextInt(3) > 0) {
                extras.request("s", nanos);
            } else {
                text.append(extras.take("s", 1 + random.nextInt(4), nanos) ? '1' : '0');
            }
        }
        return text.toString();
    }

    @Test
    void answersAreSizedAsTheyWere() {
        AnswerSizes sizes = new AnswerSizes();
        SplittableRandom random = new SplittableRandom(41);
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int expected = random.nextInt(5) == 0 ? 0 : random.nextInt(6_000);
            int most = random.nextInt(5) == 0 ? 0 : 50 + random.nextInt(8_000);
            RelayRequest.Prompt prompt = new RelayRequest.Prompt(1_000, most, expected, 0);
            sizes.observe(prompt);
            int needed = sizes.expect(prompt) + random.nextInt(9_000);
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "expected %d, most %d: expect %d, reserve %d; %d tokens wait %.5f",
                            expected,
                            most,
                            sizes.expect(prompt),
                            sizes.reserve(prompt),
                            needed,
                            sizes.patience(needed)));
        }
        Pin.check("answer-sizes.txt", lines);
    }

    @Test
    void requestsThatComeBackAreKnownAsTheyWere() {
        ReturningRequests returning = new ReturningRequests();
        SplittableRandom random = new SplittableRandom(51);
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String route = "route-" + random.nextInt(2);
            Duration waits = Duration.ofMillis(9_000 + random.nextInt(2_000));
            lines.add(route + " " + waits + ": " + returning.isReturning(route, waits));
        }
        Pin.check("returning-requests.txt", lines);
    }

    @Test
    void promptsAreSplitAsTheyWere() {
        List<String> lines = new ArrayList<>();
        for (double target : new double[] {300, 900}) {
            lines.add("no prefill engine: " + StagePolicy.choose(Optional.empty(), target));
            for (double millis = 0; millis < 1_200; millis += 15) {
                lines.add(
                        "%s of %s ms: %s"
                                .formatted(
                                        millis,
                                        target,
                                        StagePolicy.choose(Optional.of(millis), target)));
            }
        }
        lines.add("avoided: " + StagePolicy.choose(Optional.of(100_000.0), 900));
        lines.add("nearly avoided: " + StagePolicy.choose(Optional.of(99_999.0), 900));
        for (int tokens = 500; tokens < 12_000; tokens += 500) {
            for (double share : new double[] {0, 0.49, 0.5, 0.9}) {
                for (int reading : new int[] {0, 1}) {
                    lines.add(
                            "%d tokens, share %s, reading %d: %s"
                                    .formatted(
                                            tokens,
                                            share,
                                            reading,
                                            StagePolicy.isIdle(tokens, share, reading, 300)));
                }
            }
        }
        Pin.check("prompt-split.txt", lines);
    }
}
