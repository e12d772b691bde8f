/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which part of each rank is served, with the reserve and without, in simulated time. */
final class UrgentSimulationTest {
    private static final int SEEDS = 4;
    private static final int PHASE_MILLIS = 20_000;

    /** No class is served less than a quarter as often as all. */
    private static final double LEAST_SHARE = 0.25;

    /** Rules of reserve. */
    private enum Rule implements UrgentSimulation.ReserveRule {
        OFF {
            @Override
            public long tokens(
                    UrgentReserve.Load load, int engines, double heldMillis, long memoryTokens) {
                return 0;
            }
        },
        /** All that arrives while the request holds its memory; not used. */
        WHOLE_NEED {
            @Override
            public long tokens(
                    UrgentReserve.Load load, int engines, double heldMillis, long memoryTokens) {
                double needed = load.tokensPerSecond() * heldMillis / 1_000 / engines;
                return Math.min((long) needed, memoryTokens * 3 / 4);
            }
        },
        KEPT {
            @Override
            public long tokens(
                    UrgentReserve.Load load, int engines, double heldMillis, long memoryTokens) {
                return UrgentReserve.tokens(load, engines, heldMillis, memoryTokens);
            }
        }
    }

    /** Requests per second of ranks 0 and 1; the engines serve some 12 in all. */
    private enum Scenario implements UrgentSimulation.Load {
        BURST_OF_LESS_URGENT {
            @Override
            public double perSecond(int rank, int nowMillis) {
                return rank == 0 ? 3 : inBurst(nowMillis) ? 12 : 4;
            }
        },
        LASTING_BURST_OF_LESS_URGENT {
            @Override
            public double perSecond(int rank, int nowMillis) {
                return rank == 0 ? 3 : 20;
            }
        },
        URGENT_BURST_BESIDE_TRICKLE {
            @Override
            public double perSecond(int rank, int nowMillis) {
                return rank != 0 ? 2 : inBurst(nowMillis) ? 14 : 6;
            }
        },
        LASTING_URGENT_BURST {
            @Override
            public double perSecond(int rank, int nowMillis) {
                return rank == 0 ? 20 : 1.5;
            }
        },
        NEAR_CAPACITY {
            @Override
            public double perSecond(int rank, int nowMillis) {
                return 5;
            }
        },
        LOW {
            @Override
            public double perSecond(int rank, int nowMillis) {
                return 2;
            }
        };

        private static boolean inBurst(int nowMillis) {
            return nowMillis / PHASE_MILLIS % 2 == 1;
        }
    }

    /** Means over the seeds. */
    private static UrgentSimulation.Served served(Rule rule, UrgentSimulation.Load load) {
        List<UrgentSimulation.Served> runs = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            runs.add(UrgentSimulation.run(seed, rule, load));
        }
        return new UrgentSimulation.Served(
                mean(runs, UrgentSimulation.Served::urgent),
                mean(runs, UrgentSimulation.Served::other),
                mean(runs, UrgentSimulation.Served::all));
    }

    private static double mean(
            List<UrgentSimulation.Served> runs, ToDoubleFunction<UrgentSimulation.Served> share) {
        return runs.stream().mapToDouble(share).average().orElseThrow();
    }

    /** Guards against starvation, inversion, and capacity that is left unused. */
    @ParameterizedTest
    @EnumSource
    void noClassIsStarvedAndNoLessUrgentOneIsServedBetter(Scenario scenario) {
        UrgentSimulation.Served off = served(Rule.OFF, scenario);
        UrgentSimulation.Served kept = served(Rule.KEPT, scenario);
        String figures = scenario + ": without " + off + ", with " + kept;
        assertWithMessage(figures).that(kept.other()).isAtLeast(LEAST_SHARE * kept.all());
        assertWithMessage(figures).that(kept.urgent()).isAtLeast(kept.other() - 0.005);
        assertWithMessage(figures).that(kept.urgent()).isAtLeast(off.urgent() - 0.005);
        assertWithMessage(figures).that(kept.all()).isAtLeast(off.all() - 0.03);
    }

    /** Guards against a reserve that does not help. */
    @Test
    void urgentRequestsFindRoomBesideABurstOfLessUrgentOnes() {
        assertThat(served(Rule.KEPT, Scenario.BURST_OF_LESS_URGENT).urgent()).isAtLeast(0.96);
        UrgentSimulation.Load lasting = Scenario.LASTING_BURST_OF_LESS_URGENT;
        assertThat(served(Rule.OFF, lasting).urgent()).isAtMost(0.65);
        assertThat(served(Rule.KEPT, lasting).urgent()).isAtLeast(0.78);
    }

    /** Guards against a reserve that costs anything while engines have room. */
    @Test
    void atLowLoadNothingIsWithheld() {
        assertThat(served(Rule.KEPT, Scenario.LOW).other()).isAtLeast(0.995);
    }

    /**
     * Shows why the reserve is not the whole need: near the capacity it would leave memory unused
     * that no urgent request takes.
     */
    @Test
    void reservingTheWholeNeedWouldLeaveMemoryUnused() {
        double off = served(Rule.OFF, Scenario.NEAR_CAPACITY).all();
        assertThat(served(Rule.WHOLE_NEED, Scenario.NEAR_CAPACITY).all()).isLessThan(off - 0.1);
    }

    /** Guards against a change for a class that is the only one, whatever its rank. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aClassAloneIsServedAsWithoutReserve(int only) {
        UrgentSimulation.Load load = (rank, nowMillis) -> rank == only ? 14 : 0;
        assertThat(UrgentSimulation.run(1, Rule.KEPT, load))
                .isEqualTo(UrgentSimulation.run(1, Rule.OFF, load));
    }
}
