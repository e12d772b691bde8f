/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/**
 * Why an engine changes its stage: prefill engines are kept at a set share of the engines of each
 * service. Pure and immutable.
 *
 * <p>An engine that fell silent without leaving is counted for a while as if it were there, since
 * it is mostly back within seconds, while a change takes another engine from its work for longer.
 * One that leaves is not. The share is a setting. At least one engine stays in each stage; where
 * there are six engines or more two prefill engines are left, so that the loss of one leaves
 * another. An engine is changed to prefill only if nearly a whole one is missing, or there is none.
 */
public final class EngineStagePlan {
    /** Fewer engines than this are left as they are. */
    private static final int MIN_ENGINES = 3;

    /** From this number on there is a spare prefill engine. */
    private static final int ENGINES_FOR_SPARE = 6;

    /**
     * Added before the target is rounded down, so that a share which is nearly whole counts: decode
     * engines run out first (rounds 731ee506, ed94a39e and fb7eaf3e in docs/ROUNDS.md).
     */
    private static final double ROUNDING = 0.25;

    /**
     * Prefill engines above or below the share that are worth a change, which costs an engine for
     * some 10 s: with less than about a whole one the share after it is as far off the other way.
     */
    private static final double MIN_OFF = 0.95;

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
     * @param silent those that have lately stopped to send any and are expected back
     * @return the next change, if one is due
     */
    public Optional<Change> next(List<Registration> current, List<Registration> silent) {
        return current.stream()
                .filter(EngineStagePlan::isEngine)
                .map(Registration::service)
                .distinct()
                .sorted()
                .map(
                        service ->
                                nextOfService(
                                        ofService(current, service), ofService(silent, service)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static List<Registration> ofService(List<Registration> all, String service) {
        return all.stream()
                .filter(EngineStagePlan::isEngine)
                .filter(engine -> engine.service().equals(service))
                .toList();
    }

    private Optional<Change> nextOfService(List<Registration> current, List<Registration> silent) {
        List<Registration> counted = counted(current, silent);
        long prefill = count(counted, Stage.PREFILL);
        long target = target(counted.size());
        if (counted.size() < MIN_ENGINES || prefill == target) {
            return Optional.empty();
        }
        double off = Math.abs(prefill - mPrefillShare * counted.size());
        if (prefill > 0 && off < MIN_OFF) {
            return Optional.empty();
        }
        Stage from = prefill > target ? Stage.PREFILL : Stage.DECODE;
        Stage to = prefill > target ? Stage.DECODE : Stage.PREFILL;
        return current.stream()
                .filter(engine -> engine.stage() == from)
                .max(Comparator.comparingLong(engine -> fewInZone(current, engine, to)))
                .map(engine -> new Change(engine, to));
    }

    /** Adds the silent ones, unless a stage has no other engine or their addresses are in use. */
    private static List<Registration> counted(
            List<Registration> current, List<Registration> silent) {
        if (count(current, Stage.PREFILL) == 0 || count(current, Stage.DECODE) == 0) {
            return current;
        }
        Set<String> addresses =
                current.stream().map(Registration::address).collect(Collectors.toSet());
        List<Registration> counted = new ArrayList<>(current);
        silent.stream()
                .filter(engine -> !addresses.contains(engine.address()))
                .forEach(counted::add);
        return counted;
    }

    private static long count(List<Registration> engines, Stage stage) {
        return engines.stream().filter(engine -> engine.stage() == stage).count();
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
