/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.routing.Candidate;
import org.orchidmount.routing.Decision;
import org.orchidmount.routing.PromptBlocks;
import org.orchidmount.routing.RequestInfo;
import org.orchidmount.routing.UpstreamView;
import org.orchidmount.table.AccountRow;
import org.orchidmount.table.Change;
import org.orchidmount.table.ClassRow;
import org.orchidmount.table.Edit;
import org.orchidmount.table.ModelRow;
import org.orchidmount.table.PoolRole;
import org.orchidmount.table.PoolRow;
import org.orchidmount.table.Table;
import org.orchidmount.table.UpstreamMode;
import org.orchidmount.table.UpstreamRow;
import org.orchidmount.upstream.EngineReport;

/** Tests {@link Blackboard} and {@link WaitQueue}. */
class BlackboardTest {
    private static final ModelRow MODEL = new ModelRow("m", "p", "d", 100, 50, 10, 9999, 9999, 0);
    private static final ModelRow OTHER = new ModelRow("o", "p", "d", 100, 50, 10, 9999, 9999, 0);
    private static final Decision WAIT = new Decision.Wait(Decision.WaitReason.NO_DECODE);

    private final ManualClock mClock = new ManualClock();
    private Blackboard mBoard;

    @BeforeEach
    void fill() {
        mBoard = new Blackboard(mClock, "z");
        List<Edit> edits = new ArrayList<>();
        edits.add(new Edit.Put(new PoolRow("p", PoolRole.PREFILL, 0), 0));
        edits.add(new Edit.Put(new PoolRow("d", PoolRole.DECODE, 0), 0));
        edits.add(new Edit.Put(MODEL, 0));
        for (String name : List.of("p-1", "p-2", "d-1", "d-2")) {
            edits.add(new Edit.Put(upstream(name), 0));
        }
        mBoard.applyTable(Table.empty().apply(new Change("c", "a", "", edits)).table());
    }

    private static UpstreamRow upstream(String name) {
        return new UpstreamRow(
                name,
                name.substring(0, 1),
                "127.0.0.1",
                1,
                "z",
                UpstreamMode.ACTIVE,
                1,
                0,
                100_000,
                1000,
                1000);
    }

    private Ticket ticket(String account, int weight, ModelRow model, Set<String> excluded) {
        RequestInfo info = new RequestInfo("r", model.name(), 100, 100, 2000, 1000, 0, 0);
        return new Ticket(
                info,
                new PromptBlocks(100, new long[] {11, 12}),
                new AccountRow(account, "0".repeat(64), "c", weight, 0, 0),
                new ClassRow("c", 1, 0, 1000, 0, 0, 0),
                model,
                excluded,
                new CompletableFuture<>());
    }

    private static Decision place() {
        return new Decision.Place("p-1", "d-1", 64);
    }

    private Reservation placeOne() {
        mBoard.enqueue(ticket("a", 1, MODEL, Set.of()));
        Ticket.Verdict verdict =
                mBoard.dispatch((ticket, input, table) -> place()).getFirst().verdict();
        return ((Ticket.Verdict.Placed) verdict).reservation();
    }

    private UpstreamView view(String name) {
        return mBoard.upstreams().stream()
                .filter(view -> view.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void reservationIsGivenBackOnceInParts() {
        Reservation reservation = placeOne();
        assertThat(view("p-1").backlogTokens()).isEqualTo(36);
        assertThat(view("d-1").kvBytesTaken()).isEqualTo(2000);
        assertThat(view("d-1").linkBacklogBytes()).isEqualTo(1000);
        mBoard.prefillDone(reservation, 36, 1);
        mBoard.transferDone(reservation);
        assertThat(view("p-1").backlogTokens()).isEqualTo(0);
        assertThat(view("d-1").linkBacklogBytes()).isEqualTo(0);
        assertThat(view("d-1").kvBytesTaken()).isEqualTo(2000);
        mBoard.release(reservation);
        mBoard.release(reservation);
        assertThat(view("d-1").kvBytesTaken()).isEqualTo(0);
        assertThat(view("d-1").ownRunning()).isEqualTo(0);
        assertThat(view("p-1").ownRunning()).isEqualTo(0);
    }

    @Test
    void laggingReportCountsBesideOwnReservations() {
        mBoard.observeReport("d-1", new EngineReport(3, 0, 50_000, List.of(), 0, false));
        placeOne();
        assertThat(view("d-1").kvBytesTaken()).isEqualTo(52_000);
        mBoard.observeReport("d-1", new EngineReport(0, 0, 0, List.of(), 0, false));
        assertThat(view("d-1").kvBytesTaken()).isEqualTo(2000);
    }

    @Test
    void circuitOpensAfterThreeFailuresAndLetsOneThroughLater() {
        for (int i = 0; i < 3; i++) {
            assertThat(view("d-1").available()).isTrue();
            mBoard.failed("d-1");
        }
        assertThat(view("d-1").available()).isFalse();
        mClock.advance(Duration.ofSeconds(2));
        assertThat(view("d-1").available()).isTrue();
        mBoard.failed("d-1");
        assertThat(view("d-1").available()).isFalse();
        mBoard.succeeded("d-1");
        assertThat(view("d-1").available()).isTrue();
    }

    /** An engine that failed a request before is taken again only if no other is usable. */
    @ParameterizedTest
    @CsvSource({"false, d-2", "true, d-1 d-2"})
    void excludedEngineCountsIfNoOtherIsUsable(boolean otherBroken, String expected) {
        for (int i = 0; otherBroken && i < 3; i++) {
            mBoard.failed("d-2");
        }
        mBoard.enqueue(ticket("a", 1, MODEL, Set.of("d-1")));
        List<String> offered = new ArrayList<>();
        mBoard.dispatch(
                (ticket, input, table) -> {
                    for (Candidate candidate : input.decode()) {
                        offered.add(candidate.upstream().name());
                    }
                    return WAIT;
                });
        assertThat(offered).containsExactlyElementsIn(expected.split(" "));
    }

    @Test
    void modelWithoutRoomBlocksNoOther() {
        mBoard.enqueue(ticket("a", 1, OTHER, Set.of()));
        mBoard.enqueue(ticket("a", 1, MODEL, Set.of()));
        List<Blackboard.Decided> decided =
                mBoard.dispatch((ticket, input, table) -> ticket.model() == OTHER ? WAIT : place());
        assertThat(decided).hasSize(1);
        assertThat(mBoard.queued()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 20", "3, 1, 30", "9, 1, 36"})
    void accountsAreServedByWeight(int weight, int otherWeight, int expectedOfFirst) {
        for (int i = 0; i < 100; i++) {
            mBoard.enqueue(ticket("heavy", weight, MODEL, Set.of()));
            mBoard.enqueue(ticket("light", otherWeight, MODEL, Set.of()));
        }
        Map<String, Integer> served = new HashMap<>();
        int[] left = {40};
        mBoard.dispatch(
                (ticket, input, table) -> {
                    if (left[0] == 0) {
                        return WAIT;
                    }
                    left[0]--;
                    served.merge(ticket.account().name(), 1, Integer::sum);
                    return place();
                });
        assertThat(served.get("heavy"))
                .isIn(List.of(expectedOfFirst - 1, expectedOfFirst, expectedOfFirst + 1));
        assertThat(served.get("light")).isGreaterThan(0);
    }

    @Test
    void hintsComeFromPlacementsAndEvents() {
        placeOne();
        EngineReport evicted =
                new EngineReport(
                        0, 0, 0, List.of(new EngineReport.CacheEvent(12, false)), 1, false);
        assertThat(hint("p-1")).isEqualTo(128);
        mBoard.observeReport("p-1", evicted);
        assertThat(hint("p-1")).isEqualTo(64);
        assertThat(hint("p-2")).isEqualTo(0);
        mClock.advance(Duration.ofSeconds(121));
        assertThat(hint("p-1")).isEqualTo(0);
    }

    private int hint(String engine) {
        mBoard.enqueue(ticket("hint", 1, MODEL, Set.of()));
        int[] hint = new int[1];
        mBoard.dispatch(
                (ticket, input, table) -> {
                    for (Candidate candidate : input.prefill()) {
                        if (candidate.upstream().name().equals(engine)) {
                            hint[0] = candidate.cachedTokens();
                        }
                    }
                    return new Decision.Refuse(Decision.RefuseReason.TOO_LATE, 1);
                });
        return hint[0];
    }
}
