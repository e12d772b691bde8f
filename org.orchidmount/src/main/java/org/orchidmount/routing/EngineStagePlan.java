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
 * Decides when an engine changes its stage, to keep prefill engines at a configured share of the
 * engines of each service. Pure and immutable.
 *
 * <p>An engine whose heartbeats stop without a deregistration is still counted for a while: it
 * usually returns within seconds, whereas a stage change keeps another engine from work for longer.
 * An engine that deregisters is not counted. At least one engine stays in each stage. From six
 * engines on, at least two are prefill engines, so that one remains if the other is lost. An engine
 * is changed to prefill only if nearly a whole prefill engine is missing, or if there is none.
 */
public final class EngineStagePlan {
    /** Minimum number of engines for a stage change; with fewer, all stages are left unchanged. */
    private static final int MIN_ENGINES = 3;

    /** Minimum number of engines at which there is a spare prefill engine. */
    private static final int ENGINES_FOR_SPARE = 6;

    /**
     * Added to the target before it is rounded down, so that a fractional part of at least 0.75 is
     * rounded up. Other fractions are rounded down in favour of decode engines, which run out
     * first.
     */
    private static final double ROUNDING = 0.25;

    /**
     * Minimum deviation from the target share, in engines, that justifies a change. A change keeps
     * an engine from work for some 10 s, and for a deviation of less than about one engine the
     * share would be as far off in the other direction afterwards.
     */
    private static final double MIN_DEVIATION = 0.95;

    private final double mPrefillShare;

    /**
     * Creates a plan.
     *
     * @param prefillShare target share of prefill engines, from 0 to 1
     */
    public EngineStagePlan(double prefillShare) {
        mPrefillShare = prefillShare;
    }

    /**
     * A change of the stage of one engine.
     *
     * @param engine the engine
     * @param stage its new stage
     */
    public record Change(Registration engine, Stage stage) {}

    /**
     * Returns the next stage change that is due.
     *
     * @param current upstreams with recent heartbeats
     * @param silent upstreams whose heartbeats have stopped recently and that are expected to
     *     return
     * @return the change, or empty if none is due
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
        List<Registration> withSilent = withSilent(current, silent);
        long prefill = count(withSilent, Stage.PREFILL);
        long target = target(withSilent.size());
        if (withSilent.size() < MIN_ENGINES || prefill == target) {
            return Optional.empty();
        }
        double deviation = Math.abs(prefill - mPrefillShare * withSilent.size());
        if (prefill > 0 && deviation < MIN_DEVIATION) {
            return Optional.empty();
        }
        Stage from = prefill > target ? Stage.PREFILL : Stage.DECODE;
        Stage to = prefill > target ? Stage.DECODE : Stage.PREFILL;
        return current.stream()
                .filter(engine -> engine.stage() == from)
                .max(Comparator.comparingLong(engine -> zoneRank(current, engine, to)))
                .map(engine -> new Change(engine, to));
    }

    /**
     * Returns the current engines with the silent ones added. Silent engines are left out if a
     * stage has no current engine, or if a current engine uses their address.
     */
    private static List<Registration> withSilent(
            List<Registration> current, List<Registration> silent) {
        if (count(current, Stage.PREFILL) == 0 || count(current, Stage.DECODE) == 0) {
            return current;
        }
        Set<String> addresses =
                current.stream().map(Registration::address).collect(Collectors.toSet());
        List<Registration> withSilent = new ArrayList<>(current);
        silent.stream()
                .filter(engine -> !addresses.contains(engine.address()))
                .forEach(withSilent::add);
        return withSilent;
    }

    private static long count(List<Registration> engines, Stage stage) {
        return engines.stream().filter(engine -> engine.stage() == stage).count();
    }

    private long target(int engines) {
        int min = engines >= ENGINES_FOR_SPARE ? 2 : 1;
        long share = (long) (engines * mPrefillShare + ROUNDING);
        return Math.clamp(share, min, Math.max(1, engines - 1));
    }

    /**
     * Returns a rank that is highest in the availability zone with the fewest engines of the new
     * stage.
     */
    private static long zoneRank(List<Registration> engines, Registration engine, Stage stage) {
        return -engines.stream()
                .filter(other -> other.zone().equals(engine.zone()) && other.stage() == stage)
                .count();
    }

    private static boolean isEngine(Registration registration) {
        return registration.stage() != Stage.NONE && registration.state() == State.READY;
    }
}
