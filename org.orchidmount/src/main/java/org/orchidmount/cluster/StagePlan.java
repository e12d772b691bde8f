/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/**
 * Decides which engine is to change its stage, so that prefill engines are a set share of all.
 * Pure.
 *
 * <p>The share is what a prompt's reading takes of the work of a request; it leaves at least one
 * engine in each stage, and two prefill engines where there are six engines or more, so that the
 * loss of one leaves another.
 */
final class StagePlan {
    private static final int FEWEST_ENGINES = 3;
    private static final int ENGINES_FOR_SPARE = 6;

    /** Rounds down, but for a share that is nearly whole: answers run out of engines first. */
    private static final double ROUNDING = 0.25;

    private final double mPrefillShare;

    /**
     * Creates a plan.
     *
     * @param prefillShare the share of prefill engines
     */
    StagePlan(double prefillShare) {
        mPrefillShare = prefillShare;
    }

    /**
     * A change of one engine.
     *
     * @param engine the engine
     * @param stage its new stage
     */
    record Change(Registration engine, Stage stage) {}

    /**
     * Decides.
     *
     * @param heard the upstreams that were heard of lately
     * @return the next change, if one is due
     */
    Optional<Change> next(List<Registration> heard) {
        Map<String, Long> services = new HashMap<>();
        for (Registration registration : heard) {
            if (isEngine(registration)) {
                services.merge(registration.service(), 1L, Long::sum);
            }
        }
        return services.keySet().stream()
                .sorted()
                .map(service -> next(heard, service))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<Change> next(List<Registration> heard, String service) {
        List<Registration> engines =
                heard.stream()
                        .filter(StagePlan::isEngine)
                        .filter(engine -> engine.service().equals(service))
                        .toList();
        long prefill = engines.stream().filter(engine -> engine.stage() == Stage.PREFILL).count();
        long target = target(engines.size());
        if (engines.size() < FEWEST_ENGINES || prefill == target) {
            return Optional.empty();
        }
        Stage from = prefill > target ? Stage.PREFILL : Stage.DECODE;
        Stage to = prefill > target ? Stage.DECODE : Stage.PREFILL;
        return engines.stream()
                .filter(engine -> engine.stage() == from)
                .max(Comparator.comparingLong(engine -> fewInZone(engines, engine, to)))
                .map(engine -> new Change(engine, to));
    }

    private long target(int engines) {
        int least = engines >= ENGINES_FOR_SPARE ? 2 : 1;
        long share = (long) (engines * mPrefillShare + ROUNDING);
        return Math.clamp(share, least, Math.max(1, engines - 1));
    }

    /** Prefers zones that have few engines of the new stage. */
    private static long fewInZone(List<Registration> engines, Registration engine, Stage stage) {
        return -engines.stream()
                .filter(other -> other.zone().equals(engine.zone()) && other.stage() == stage)
                .count();
    }

    private static boolean isEngine(Registration registration) {
        return registration.stage() != Stage.NONE && registration.state() == State.READY;
    }
}
