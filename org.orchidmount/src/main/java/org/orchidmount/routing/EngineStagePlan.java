/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/**
 * Why an engine changes its stage: prefill engines are kept at a set share of the engines of each
 * service. Pure and immutable.
 *
 * <p>The share is a setting. At least one engine stays in each stage, and two prefill engines where
 * there are six engines or more, so that the loss of one leaves another.
 */
public final class EngineStagePlan {
    /** Fewer engines than this are left as they are. Chosen, not measured. */
    private static final int MIN_ENGINES = 3;

    /** From this number on there is a spare prefill engine. Chosen, not measured. */
    private static final int ENGINES_FOR_SPARE = 6;

    /**
     * Added before the target is rounded down, so that a share which is nearly whole counts: decode
     * engines run out first (rounds 731ee506, ed94a39e and fb7eaf3e in docs/ROUNDS.md).
     */
    private static final double ROUNDING = 0.25;

    private final double mPrefillShare;

    /**
     * Creates a plan.
     *
     * @param prefillShare the share of prefill engines
     */
    public EngineStagePlan(double prefillShare) {
        mPrefillShare = prefillShare;
    }

    /**
     * A change of one engine.
     *
     * @param engine the engine
     * @param stage its new stage
     */
    public record Change(Registration engine, Stage stage) {}

    /**
     * Decides.
     *
     * @param current the upstreams whose heartbeats are recent
     * @return the next change, if one is due
     */
    public Optional<Change> next(List<Registration> current) {
        Map<String, Long> services = new HashMap<>();
        for (Registration registration : current) {
            if (isEngine(registration)) {
                services.merge(registration.service(), 1L, Long::sum);
            }
        }
        return services.keySet().stream()
                .sorted()
                .map(service -> next(current, service))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<Change> next(List<Registration> current, String service) {
        List<Registration> engines =
                current.stream()
                        .filter(EngineStagePlan::isEngine)
                        .filter(engine -> engine.service().equals(service))
                        .toList();
        long prefill = engines.stream().filter(engine -> engine.stage() == Stage.PREFILL).count();
        long target = target(engines.size());
        if (engines.size() < MIN_ENGINES || prefill == target) {
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

    /** Prefers availability zones that have few engines of the new stage. */
    private static long fewInZone(List<Registration> engines, Registration engine, Stage stage) {
        return -engines.stream()
                .filter(other -> other.zone().equals(engine.zone()) && other.stage() == stage)
                .count();
    }

    private static boolean isEngine(Registration registration) {
        return registration.stage() != Stage.NONE && registration.state() == State.READY;
    }
}
