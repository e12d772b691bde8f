/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What an account gets of its limit in different ways. Its load comes to 42 instances, most of it
 * to few, as callers that keep their connections do; halfway it moves to others. Its requests are
 * large against what one instance has of the limit: 20,000 units a second over 42 instances are
 * 476, and a request uses up to 6,000.
 */
final class QuotaWaysTest {
    private static final int INSTANCES = 42;
    private static final QuotaLimit LIMIT =
            new QuotaLimit(20_000, 20_000, 0, Duration.ofSeconds(8));
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int SEEDS = 20;
    private static final int SECONDS = 40;
    private static final double MEAN_UNITS = 3_000;

    private enum Way {
        OWNER,
        DEMAND,
        EQUAL
    }

    private static QuotaWay create(Way way) {
        return switch (way) {
            case OWNER -> new QuotaWay.Owner(LIMIT);
            case DEMAND -> new QuotaWay.Shares(LIMIT, INSTANCES, true);
            case EQUAL -> new QuotaWay.Shares(LIMIT, INSTANCES, false);
        };
    }

    /**
     * The share that is granted of what the limit allows of the demand, its mean over all seeds.
     */
    private static double grantedShare(Way way, double load) {
        double sum = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            sum += play(create(way), load, seed);
        }
        return sum / SEEDS;
    }

    private static double play(QuotaWay way, double load, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double pauseNanos = SECOND * MEAN_UNITS / (load * LIMIT.ratePerSecond());
        double granted = 0;
        double asked = 0;
        long nowNanos = 0;
        while (nowNanos < SECONDS * SECOND) {
            nowNanos += (long) (2 * pauseNanos * random.nextDouble());
            double drawn = random.nextDouble();
            int skewed = (int) (drawn * drawn * drawn * INSTANCES);
            boolean hasMoved = nowNanos > SECONDS * SECOND / 2;
            int instance = hasMoved ? INSTANCES - 1 - skewed : skewed;
            long units = 1 + random.nextInt((int) (2 * MEAN_UNITS));
            asked += units;
            granted += way.take(instance, units, nowNanos) ? units : 0;
        }
        double allowed = LIMIT.ratePerSecond() * SECONDS + LIMIT.burst();
        return granted / Math.min(asked, allowed);
    }

    @ParameterizedTest
    @CsvSource({
        // way, load as a share of the rate, least and most share of it that is granted
        "OWNER,  0.55, 0.99, 1",
        "OWNER,  0.90, 0.97, 1",
        "OWNER,  3.00, 0.97, 1.01",
        "DEMAND, 0.55, 0, 0.95",
        "DEMAND, 0.90, 0, 0.95",
        "EQUAL,  0.55, 0, 0.80",
        "EQUAL,  0.90, 0, 0.80",
    })
    void ofItsLimitAnAccountGets(Way way, double load, double least, double most) {
        double share = grantedShare(way, load);
        assertWithMessage("share").that(share).isAtLeast(least);
        assertWithMessage("share").that(share).isAtMost(most);
    }
}
