/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests {@code RouteTable}. */
final class RouteTableTest {
    private static final CallerLimits LIMITS = new CallerLimits(1, Duration.ofSeconds(1));

    @Test
    void longestPrefixOfTheHostWins() {
        RouteTable table = table(route("a", "/x/", 1, 10), route("b", "/x/y/", 1, 10));
        assertThat(table.find("H.example", "/x/y/z").get().name()).isEqualTo("b");
        assertThat(table.find("h.example", "/x/z").get().name()).isEqualTo("a");
        assertThat(table.find("h.example", "/x")).isEmpty();
        assertThat(table.find("other.example", "/x/y/z")).isEmpty();
    }

    @Test
    void invalidTablesAreRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> table(route("a", "/x/", 1, 10), route("b", "/x/", 1, 10)));
        assertThrows(IllegalArgumentException.class, () -> table(route("a", "/x/", 0, 10)));
        assertThrows(IllegalArgumentException.class, () -> table(route("a", "/x/", 1, 0)));
        Route unknown = route("a", "/x/", 1, 10, "nobody");
        assertThrows(IllegalArgumentException.class, () -> table(unknown));
    }

    @Test
    void servicesAreChosenByWeight() {
        Route route =
                new Route(
                        "a",
                        "h.example",
                        "/",
                        RequestKind.SAFE,
                        false,
                        false,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        0,
                        1,
                        List.of(
                                new Route.Destination("s", 90),
                                new Route.Destination("t", 0),
                                new Route.Destination("u", 10)));
        assertThat(route.selectService(0)).isEqualTo("s");
        assertThat(route.selectService(0.899)).isEqualTo("s");
        assertThat(route.selectService(0.901)).isEqualTo("u");
        assertThat(route.selectService(0.999_999)).isEqualTo("u");
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(
                1,
                List.of(routes),
                Map.of("s", new Service("s", Optional.empty())),
                LIMITS,
                ClientAccounts.NONE);
    }

    private static Route route(String name, String prefix, int weight, long timeoutMillis) {
        return route(name, prefix, weight, timeoutMillis, "s");
    }

    private static Route route(
            String name, String prefix, int weight, long timeoutMillis, String service) {
        return new Route(
                name,
                "h.example",
                prefix,
                RequestKind.SAFE,
                false,
                false,
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(timeoutMillis),
                0,
                1,
                List.of(new Route.Destination(service, weight)));
    }
}
