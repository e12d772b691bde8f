/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.routes.CallerLimits;
import org.orchidmount.routes.ClientAccounts;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.Service;

/** Tests {@code SharedStateGate}. */
final class SharedStateGateTest {
    /** Guards against shared state at a site whose entries know each engine from their own work. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "12 | 48 | true",
                "12 | 47 | false",
                "12 | 360 | true",
                "64,12 | 48 | true",
                "64,48 | 191 | false",
                "1 | 4 | true",
                "1 | 3 | false",
                "0 | 360 | false",
                "12,0 | 360 | false",
                "2000000000 | 360 | false",
                " | 360 | false",
            })
    void isInForceWithFourEntriesForEachSlot(String slots, int entries, boolean expected) {
        assertThat(new SharedStateGate(4).isInForce(table(slots), entries)).isEqualTo(expected);
    }

    @Test
    void servicesWithoutEnginesDoNotCount() {
        assertThat(new SharedStateGate(1).isInForce(table(null), 360)).isFalse();
    }

    @Test
    void aRatioBelowOneIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new SharedStateGate(0));
    }

    /** Creates a table with a plain service and one engine service for each number of slots. */
    private static RouteTable table(String slots) {
        Map<String, Service> services = new HashMap<>();
        services.put("plain", new Service("plain", Optional.empty()));
        if (slots != null) {
            for (String each : slots.split(",")) {
                Service.Engine engine = new Service.Engine(74_000, 70, Integer.parseInt(each));
                String name = "engines-" + services.size();
                services.put(name, new Service(name, Optional.of(engine)));
            }
        }
        CallerLimits limits = new CallerLimits(1, Duration.ofSeconds(1));
        return new RouteTable(1, List.of(), services, limits, ClientAccounts.NONE);
    }
}
