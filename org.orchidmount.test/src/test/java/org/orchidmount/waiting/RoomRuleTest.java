/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.routing.MemoryForecast;
import org.orchidmount.waiting.RoomRule.Decision;

/** Requests are placed in order, and refused only if they cannot be in time. */
final class RoomRuleTest {
    private static final int MEMORY_TOKENS = 74_000;

    /** An engine with one slot that a sequence occupies for some time, or a free one. */
    private static RoomForecast.Engine engine(String id, int busyMillis) {
        List<MemoryForecast.Sequence> sequences =
                busyMillis == 0
                        ? List.of()
                        : List.of(new MemoryForecast.Sequence(100, 1, 10 * busyMillis, 1 << 30));
        return new RoomForecast.Engine(id, MEMORY_TOKENS, 1, 10, 0, sequences);
    }

    private static List<RoomForecast.Engine> engines(String busyMillis) {
        List<RoomForecast.Engine> engines = new ArrayList<>();
        if (busyMillis == null) {
            return engines;
        }
        for (String one : busyMillis.split(" ")) {
            engines.add(engine("e" + engines.size(), Integer.parseInt(one)));
        }
        return engines;
    }

    private static WaitingRequest waiting(String id, int prompt, long remainingMillis) {
        return new WaitingRequest(id, "s", "", 0, prompt, 4_900, 0, remainingMillis, false);
    }

    private static RoomRule.Input input(
            int ahead, List<RoomForecast.Engine> engines, long remainingMillis, boolean complete) {
        List<WaitingRequest> requests = new ArrayList<>();
        for (int i = 0; i < ahead; i++) {
            requests.add(waiting("a" + i, 1_000, 10_000));
        }
        return new RoomRule.Input(
                new MemoryForecast.Sequence(1_000, 0, 4_900, 1 << 30),
                remainingMillis,
                MEMORY_TOKENS,
                requests,
                engines,
                complete);
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // ms for which each engine is busy, ahead, remaining ms, complete, decision
                "0 0, 0, 500, true, Place[engines=[e0; e1]]",
                "0 900, 0, 500, true, Place[engines=[e0]]",
                "0 900, 0, -5, true, Place[engines=[e0]]",
                "0 0, 1, 500, true, Place[engines=[e1]]",
                "0 400, 1, 500, true, Wait",
                "400 900, 0, 500, true, Wait",
                "400 900, 0, 20, true, Refuse",
                "400 900, 0, 40, true, Wait",
                "400 900, 1, 90, true, Refuse",
                "400 900, 8, 500, true, Refuse",
                "400 900, 0, 20, false, Wait",
                "400 900, 40, 100, false, Wait",
                "-, 0, 100, true, Wait",
                "-, 5, 100, true, Wait",
            })
    void decides(
            String busyMillis, int ahead, long remainingMillis, boolean complete, String text) {
        Decision decision =
                RoomRule.decide(input(ahead, engines(busyMillis), remainingMillis, complete));
        String name = decision.toString().replace(',', ';');
        assertThat(decision instanceof Decision.Place ? name : decision.getClass().getSimpleName())
                .isEqualTo(text);
    }

    /** Guards against small requests that take the room of a large one for ever. */
    @Test
    void aLargeRequestAheadKeepsTheEngineThatIsFirstToHaveRoom() {
        RoomForecast.Engine soon =
                new RoomForecast.Engine(
                        "soon", MEMORY_TOKENS, 12, 10, 0, List.of(memory(40_000, 4_000)));
        RoomForecast.Engine late =
                new RoomForecast.Engine(
                        "late", MEMORY_TOKENS, 12, 10, 0, List.of(memory(40_000, 10)));
        List<WaitingRequest> ahead = List.of(waiting("large", 50_000, 5_000));
        RoomRule.Input input =
                new RoomRule.Input(
                        new MemoryForecast.Sequence(1_000, 0, 4_900, 1 << 30),
                        500,
                        MEMORY_TOKENS,
                        ahead,
                        List.of(soon, late),
                        true);
        assertThat(RoomRule.decide(input).toString()).isEqualTo("Place[engines=[late]]");
    }

    /** Guards against engines that stay unused for a request that will be refused anyway. */
    @Test
    void aRequestAheadThatCannotBeInTimeKeepsNothing() {
        RoomForecast.Engine soon =
                new RoomForecast.Engine(
                        "soon", MEMORY_TOKENS, 12, 10, 0, List.of(memory(40_000, 10)));
        RoomRule.Input input =
                new RoomRule.Input(
                        new MemoryForecast.Sequence(1_000, 0, 4_900, 1 << 30),
                        500,
                        MEMORY_TOKENS,
                        List.of(waiting("large", 50_000, 10)),
                        List.of(soon),
                        true);
        assertThat(RoomRule.decide(input).toString()).isEqualTo("Place[engines=[soon]]");
    }

    /** Guards against a retry that comes back before there is room for it. */
    @Test
    void theTimeToRoomGrowsWithTheRequestsAhead() {
        double none = refusedMillis(0);
        assertThat(none).isWithin(20).of(400 * 900 / (400 + 900));
        assertThat(refusedMillis(1)).isWithin(1).of(2 * none);
    }

    private static double refusedMillis(int ahead) {
        Decision decision = RoomRule.decide(input(ahead, engines("400 900"), 0, true));
        return ((Decision.Refuse) decision).millis();
    }

    private static MemoryForecast.Sequence memory(int prompt, int generated) {
        return new MemoryForecast.Sequence(prompt, generated, 4_900, 1 << 30);
    }
}
