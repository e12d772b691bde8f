/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.retry.SimulatedRetrySite.Fault;
import org.orchidmount.retry.SimulatedRetrySite.Way;

/**
 * All entries together keep the limit on retries in every window, in every order of faults. The
 * ways that do not keep it are caught, so that the model would show a fault.
 */
final class RetryModelTest {
    /** Three windows. */
    private static final int STEPS = 600;

    private static final int FAULTS = 3;
    private static final int SITE_ENTRIES = 7;
    private static final double SITE_REQUESTS_PER_SECOND = 45;

    /** Where entries refuse all they may, most of the limit is used. */
    private static final double LEAST_USED = 0.9;

    private static List<List<Fault>> orders() {
        List<List<Fault>> orders = List.of(List.of());
        for (int i = 0; i < FAULTS; i++) {
            List<List<Fault>> longer = new ArrayList<>();
            for (List<Fault> order : orders) {
                for (Fault fault : Fault.values()) {
                    longer.add(Stream.concat(order.stream(), Stream.of(fault)).toList());
                }
            }
            orders = longer;
        }
        return orders;
    }

    private static double fullest(
            Way way, int entries, double perSecond, List<Fault> order, long seed)
            throws InterruptedException {
        return new SimulatedRetrySite(way, entries, perSecond, STEPS, seed)
                .run(order)
                .fullestWindow();
    }

    /** Guards against any order of faults in which entries together pass the limit. */
    @Test
    void everyOrderOfFaultsKeepsTheLimit() throws InterruptedException {
        double most = 0;
        for (List<Fault> order : orders()) {
            double fullest = fullest(Way.OWNER, SITE_ENTRIES, SITE_REQUESTS_PER_SECOND, order, 1);
            assertWithMessage(order.toString()).that(fullest).isAtMost(1.0);
            most = Math.max(most, fullest);
        }
        System.out.printf("retry model, 7 entries: %.3f at most%n", most);
        assertThat(most).isAtLeast(LEAST_USED);
    }

    /**
     * Guards against the same at the size of the target, in orders drawn by seed; all 512 by {@code
     * -Dorchidmount.retry.orders=512}.
     */
    @Test
    void manyEntriesKeepTheLimit() throws InterruptedException {
        List<List<Fault>> orders = new ArrayList<>(orders());
        Collections.shuffle(orders, new Random(1));
        double most = 0;
        for (List<Fault> order :
                orders.subList(0, Integer.getInteger("orchidmount.retry.orders", 12))) {
            double fullest = fullest(Way.OWNER, 360, 11_000, order, 1);
            assertWithMessage(order.toString()).that(fullest).isAtMost(1.0);
            most = Math.max(most, fullest);
        }
        System.out.printf("retry model, 360 entries: %.3f at most%n", most);
    }

    /** Guards against a limit that is kept only because it cannot be used. */
    @ParameterizedTest
    @CsvSource({"7, 45", "360, 11000"})
    void mostOfTheLimitIsUsedWithoutFaults(int entries, double perSecond)
            throws InterruptedException {
        double fullest = fullest(Way.OWNER, entries, perSecond, List.of(Fault.NONE), 1);
        System.out.printf("retry model, %d entries, no fault: %.3f%n", entries, fullest);
        assertThat(fullest).isAtLeast(LEAST_USED);
    }

    /** Guards against a model that would not notice a fault. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "OWNER")
    void otherWaysPassTheLimit(Way way) throws InterruptedException {
        double most = 0;
        List<Fault> worst = List.of();
        for (List<Fault> order : orders()) {
            double fullest = fullest(way, SITE_ENTRIES, SITE_REQUESTS_PER_SECOND, order, 1);
            worst = fullest > most ? order : worst;
            most = Math.max(most, fullest);
        }
        System.out.printf("retry model, %s: %.3f by %s%n", way, most, worst);
        assertThat(most).isGreaterThan(1.0);
    }
}
