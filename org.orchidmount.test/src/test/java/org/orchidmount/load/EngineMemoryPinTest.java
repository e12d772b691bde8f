/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.Pin;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.routing.EngineSpeedEstimator;
import org.orchidmount.routing.MemoryForecast;

/** What is known of the memory of engines, and what follows, stays as it was. */
final class EngineMemoryPinTest {
    private static final int SIZE = 90_000;

    private final ManualClock mClock = new ManualClock();
    private final EngineLoads mLoads = new EngineLoads(mClock);
    private final EngineSpeedEstimator mSpeed = new EngineSpeedEstimator();

    @Test
    void engineLoadsDecideAsTheyDid() {
        List<String> lines = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(11);
        List<InFlightSequence> begun = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            mClock.advance(Duration.ofMillis(random.nextInt(120)));
            lines.add(i + ": " + step(random, begun, i));
        }
        Pin.check("engine-loads.txt", lines);
    }

    private String step(SplittableRandom random, List<InFlightSequence> begun, int number) {
        int kind = random.nextInt(10);
        if (kind < 5 || begun.isEmpty()) {
            InFlightSequence run = run(random, number);
            mLoads.update(run);
            begun.add(run);
        } else if (kind < 7) {
            mLoads.update(begun.remove(random.nextInt(begun.size())).asEnded());
        } else if (kind < 9) {
            InFlightSequence run = begun.get(random.nextInt(begun.size()));
            mLoads.update(run.withGenerated(random.nextInt(3_000)));
        } else {
            mSpeed.observeOutput(0.5 + random.nextDouble(), 1);
        }
        InFlightSequence newest = begun.isEmpty() ? run(random, number) : begun.getLast();
        return "crowded %s, newest borne %s, %s"
                .formatted(
                        new TreeSet<>(
                                mLoads.saturatedEngines(run(random, -1), SIZE, mSpeed.speed())),
                        mLoads.keepsPlacement(newest, SIZE, mSpeed.speed()),
                        engines());
    }

    private String engines() {
        StringBuilder text = new StringBuilder();
        for (int engine = 0; engine < 3; engine++) {
            String id = "e-" + engine;
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%s %.3f/%d ",
                            id,
                            mLoads.usedMemoryTokens(id, mSpeed.speed()),
                            mLoads.prefillBacklogTokens(id)));
        }
        return text.toString().strip();
    }

    private static InFlightSequence run(SplittableRandom random, int number) {
        int prompt = 200 + random.nextInt(9_000);
        if (random.nextInt(4) == 0) {
            return InFlightSequence.ofPrefill("p-" + number, prompt)
                    .placedAt(Incarnation.ofUnknownStart("e-" + random.nextInt(3)), 1);
        }
        int expected = 50 + random.nextInt(5_000);
        int most = expected + random.nextInt(6_000);
        String engine = "e-" + random.nextInt(3);
        return new InFlightSequence(
                Incarnation.ofUnknownStart(engine),
                "r-" + number,
                prompt,
                expected,
                most,
                0,
                false);
    }

    @Test
    void memoryIsForecastAsItWas() {
        List<String> lines = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(12);
        for (int i = 0; i < 120; i++) {
            List<MemoryForecast.Sequence> runs = new ArrayList<>();
            for (int count = random.nextInt(12); count >= 0; count--) {
                double expected = 20 + random.nextInt(5_000);
                double most = expected * (1 + random.nextDouble());
                runs.add(
                        new MemoryForecast.Sequence(
                                random.nextInt(9_000),
                                random.nextDouble() * most * 1.1,
                                expected,
                                most));
            }
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%d runs: %.3f",
                            runs.size(),
                            MemoryForecast.peakTokens(runs)));
        }
        Pin.check("memory-forecast.txt", lines);
    }
}
