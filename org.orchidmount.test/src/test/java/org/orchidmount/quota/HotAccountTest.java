/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Sixteen accounts, of which some send seven times their usual for twelve seconds, as a script that
 * runs away does. Their usual is 0.55 of their limit, as on the deployments known so far. They are
 * held to their limit and get all of it; nobody else is refused anything.
 */
final class HotAccountTest {
    private static final int ACCOUNTS = 16;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long HOT_FROM_NANOS = 10 * SECOND;
    private static final long HOT_UNTIL_NANOS = 22 * SECOND;
    private static final long END_NANOS = 34 * SECOND;
    private static final double USUAL_SHARE = 0.55;
    private static final double HOT_FACTOR = 7;
    private static final QuotaLimit LIMIT =
            new QuotaTolerance(Duration.ofSeconds(8), 0.1, 30_000).limit(20_000, 80_000);

    /** Requests of plain services and of engines, in tokens. */
    private static final int[] SIZES = {200, 200, 200, 3_000, 6_500};

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 2", "3, 3"})
    void othersAreServedAsWithoutIt(int hot, long seed) {
        double[] asked = new double[ACCOUNTS];
        double[] granted = new double[ACCOUNTS];
        play(hot, seed, asked, granted);
        for (int i = hot; i < ACCOUNTS; i++) {
            assertWithMessage("account %s", i).that(granted[i]).isEqualTo(asked[i]);
        }
        double allowedWhileHot =
                LIMIT.ratePerSecond() * (HOT_UNTIL_NANOS - HOT_FROM_NANOS) / SECOND;
        double usual = USUAL_SHARE * LIMIT.ratePerSecond();
        double allowed = allowedWhileHot + usual * (END_NANOS / SECOND - 12) + LIMIT.burst();
        for (int i = 0; i < hot; i++) {
            assertWithMessage("hot account %s", i).that(granted[i]).isLessThan(1.1 * allowed);
            assertWithMessage("hot account %s", i).that(granted[i]).isGreaterThan(0.9 * allowed);
        }
    }

    private static void play(int hot, long seed, double[] asked, double[] granted) {
        SplittableRandom random = new SplittableRandom(seed);
        QuotaOwner owner = new QuotaOwner();
        owner.hold(1, -100 * SECOND, -100 * SECOND);
        double meanUnits = Arrays.stream(SIZES).average().orElseThrow();
        double perSecond = ACCOUNTS * USUAL_SHARE * LIMIT.ratePerSecond() / meanUnits;
        long nowNanos = 0;
        while (nowNanos < END_NANOS) {
            boolean isHot = nowNanos >= HOT_FROM_NANOS && nowNanos < HOT_UNTIL_NANOS;
            double weights = ACCOUNTS + (isHot ? hot * (HOT_FACTOR - 1) : 0);
            nowNanos +=
                    (long) (2 * random.nextDouble() * SECOND * ACCOUNTS / (perSecond * weights));
            double drawn = random.nextDouble() * weights;
            double hotWeight = hot * (isHot ? HOT_FACTOR : 1);
            int account =
                    drawn < hotWeight
                            ? (int) (drawn / hotWeight * hot)
                            : hot + (int) (drawn - hotWeight);
            int units = SIZES[random.nextInt(SIZES.length)];
            asked[account] += units;
            QuotaRequest request = new QuotaRequest("account-" + account, LIMIT, 1, units);
            granted[account] += owner.ask(request, nowNanos).isGranted() ? units : 0;
        }
    }
}
