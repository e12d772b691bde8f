/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@code UrgencyRanks} by whole route tables. */
final class UrgencyRanksTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private static Route route(String name, int priority, boolean isPublic, String... services) {
        return new Route(
                name,
                "h.example",
                "/" + name,
                RequestKind.STREAM,
                false,
                isPublic,
                SECOND,
                SECOND,
                SECOND,
                priority,
                1,
                Arrays.stream(services)
                        .map(
                                service ->
                                        new Route.Destination(
                                                service.substring(0, 1),
                                                service.endsWith("=0") ? 0 : 1))
                        .toList());
    }

    private static ClientAccount account(String name, int priority) {
        return new ClientAccount(
                name,
                priority < 0 ? OptionalInt.empty() : OptionalInt.of(priority),
                Optional.empty());
    }

    private static RouteTable table(List<Route> routes, ClientAccount... accounts) {
        ClientAccounts.Builder all = new ClientAccounts.Builder();
        for (ClientAccount account : accounts) {
            boolean hasKey = !account.name().startsWith("no-key");
            all.add(account, hasKey ? List.of("key-" + account.name()) : List.of());
        }
        return new RouteTable(
                1,
                routes,
                Map.of(
                        "s", new Service("s", Optional.empty()),
                        "t", new Service("t", Optional.empty())),
                new CallerLimits(1, SECOND),
                all.build());
    }

    /**
     * Guards against ranks that depend on the values of priorities, and against ranks in force
     * where all requests of a service are alike.
     */
    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // priorities of two routes to one service, their ranks
                "0, 2, 0, 1",
                "2, 0, 1, 0",
                "7, 9, 0, 1",
                "3, 3, -, -",
                "0, 0, -, -",
                "5, 5, -, -"
            })
    void routesAreRankedByTheOrderOfTheirPriorities(
            int first, int second, Integer firstRank, Integer secondRank) {
        Route a = route("a", first, false, "s");
        Route b = route("b", second, false, "s");
        RouteTable table = table(List.of(a, b));
        assertThat(table.urgency("s", a, Optional.empty())).isEqualTo(rank(firstRank));
        assertThat(table.urgency("s", b, Optional.empty())).isEqualTo(rank(secondRank));
    }

    private static OptionalInt rank(Integer rank) {
        return rank == null ? OptionalInt.empty() : OptionalInt.of(rank);
    }

    /** Guards against ranks from routes that never send to the service. */
    @Test
    void aRouteToAnotherServiceOrWithoutWeightDoesNotCount() {
        Route a = route("a", 0, false, "s");
        Route other = route("b", 1, false, "t");
        Route unweighted = route("c", 2, false, "s=0", "t");
        RouteTable table = table(List.of(a, other, unweighted));
        assertThat(table.urgency("s", a, Optional.empty())).isEqualTo(OptionalInt.empty());
        assertThat(table.urgency("t", other, Optional.empty())).isEqualTo(OptionalInt.of(0));
        assertThat(table.urgency("t", unweighted, Optional.empty())).isEqualTo(OptionalInt.of(1));
    }

    /** Guards against a route's priority that overrides that of an account. */
    @Test
    void theAccountCountsFirstAndTheRouteAmongEqualAccounts() {
        ClientAccount urgent = account("urgent", 1);
        ClientAccount patient = account("patient", 8);
        ClientAccount unranked = account("unranked", -1);
        Route fast = route("fast", 0, false, "s");
        Route slow = route("slow", 2, false, "s");
        RouteTable table = table(List.of(slow, fast), patient, urgent, unranked);
        // Pairs: (0,0) (1,0) (1,2) (2,2) (8,0) (8,2).
        assertThat(ranks(table, unranked, fast, slow)).containsExactly(0, 3).inOrder();
        assertThat(ranks(table, urgent, fast, slow)).containsExactly(1, 2).inOrder();
        assertThat(ranks(table, patient, fast, slow)).containsExactly(4, 5).inOrder();
    }

    private static List<Integer> ranks(RouteTable table, ClientAccount account, Route... routes) {
        return Arrays.stream(routes)
                .map(route -> table.urgency("s", route, Optional.of(account)).getAsInt())
                .toList();
    }

    /** Guards against ranks of accounts that no request can use. */
    @Test
    void anAccountWithoutKeysDoesNotCount() {
        Route route = route("a", 4, false, "s");
        ClientAccount known = account("known", 4);
        RouteTable table = table(List.of(route), known, account("no-key", 0));
        assertThat(table.urgency("s", route, Optional.of(known))).isEqualTo(OptionalInt.empty());
    }

    /** Guards against public requests without a key that have no rank beside ranked accounts. */
    @Test
    void aPublicRouteAlsoReceivesRequestsWithoutAccount() {
        Route route = route("a", 4, true, "s");
        ClientAccount urgent = account("urgent", 0);
        RouteTable table = table(List.of(route), urgent);
        assertThat(table.urgency("s", route, Optional.of(urgent))).isEqualTo(OptionalInt.of(0));
        assertThat(table.urgency("s", route, Optional.empty())).isEqualTo(OptionalInt.of(1));
    }

    /** Guards against ranks that engines do not accept. */
    @Test
    void theLastRankIsShared() {
        Route route = route("a", 9, false, "s");
        Route urgent = route("b", 0, false, "s");
        ClientAccount[] accounts =
                IntStream.range(0, 10)
                        .mapToObj(priority -> account("a" + priority, priority))
                        .toArray(ClientAccount[]::new);
        RouteTable table = table(List.of(route, urgent), accounts);
        assertThat(ranks(table, accounts[4], urgent, route)).containsExactly(8, 9).inOrder();
        assertThat(ranks(table, accounts[9], urgent, route)).containsExactly(9, 9).inOrder();
    }
}
