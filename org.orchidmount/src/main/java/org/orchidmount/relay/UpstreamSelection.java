/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.orchidmount.evidence.UpstreamEvidenceView;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.VersionConstraint;
import org.orchidmount.routing.Slowness;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.routing.UpstreamHealth;

/**
 * Selects upstreams of a directory by their cost, from the health that this instance has observed
 * and the evidence of all entries. Not thread-safe: guarded by the directory's lock.
 */
final class UpstreamSelection {
    private final UpstreamIndex mUpstreams;
    private final String mZone;
    private final RandomGenerator mRandom;
    private final UpstreamEvidenceView mEvidence;

    UpstreamSelection(
            UpstreamIndex upstreams,
            String zone,
            RandomGenerator random,
            UpstreamEvidenceView evidence) {
        mUpstreams = upstreams;
        mZone = zone;
        mRandom = random;
        mEvidence = evidence;
    }

    /** Returns the candidate with the lowest cost. */
    Optional<Upstream> best(UpstreamDirectory.Need need, Set<Incarnation> tried, long nowNanos) {
        Upstream best = null;
        double leastMillis = 0;
        double unobservedSlowness = unobservedSlowness(need.service(), need.stage(), nowNanos);
        Set<String> ejected = ejected(need.service(), need.stage());
        for (Upstream upstream : candidates(need, tried)) {
            double millis = costMillis(upstream, need, ejected, unobservedSlowness, nowNanos);
            if (best == null || millis < leastMillis) {
                best = upstream;
                leastMillis = millis;
            }
        }
        return Optional.ofNullable(best);
    }

    private List<Upstream> candidates(UpstreamDirectory.Need need, Set<Incarnation> tried) {
        List<Upstream> untried = new ArrayList<>();
        List<Upstream> alreadyTried = new ArrayList<>();
        mUpstreams
                .available(need.service(), need.stage())
                .filter(upstream -> isCandidate(upstream, need))
                .forEach(
                        upstream -> {
                            boolean wasTried = tried.contains(upstream.incarnation());
                            (wasTried ? alreadyTried : untried).add(upstream);
                        });
        return untried.isEmpty() && need.mayTakeTried() ? alreadyTried : untried;
    }

    private static boolean isCandidate(Upstream upstream, UpstreamDirectory.Need need) {
        return need.constraint().permits(upstream.registration())
                && upstream.assignments() < need.maxAssignments()
                && !need.excluded().contains(upstream.registration().id());
    }

    /** Returns the ids of upstreams that are ejected because entries agree that they fail. */
    private Set<String> ejected(String service, Stage stage) {
        return mEvidence.ejected(
                () -> mUpstreams.available(service, stage).map(Upstream::incarnation).toList());
    }

    /**
     * Returns the slowness of upstreams without recent observations. For engines it is nominal,
     * because the time that an engine needs is already estimated from all engines of its service.
     */
    double unobservedSlowness(String service, Stage stage, long nowNanos) {
        if (stage != Stage.NONE) {
            return Slowness.NOMINAL;
        }
        return Slowness.unobserved(
                mUpstreams.available(service, stage).map(Upstream::slowness), nowNanos);
    }

    private double costMillis(
            Upstream upstream,
            UpstreamDirectory.Need need,
            Set<String> ejected,
            double unobservedSlowness,
            long nowNanos) {
        boolean sameZone = upstream.registration().zone().equals(mZone);
        double draw = mRandom.nextDouble();
        String id = upstream.registration().id();
        return UpstreamCost.millis(
                        expectedMillis(upstream, need, ejected, unobservedSlowness, nowNanos),
                        need.workMillis(),
                        sameZone ? 0 : need.crossZoneMillis(),
                        draw)
                + need.backlog().extraCostMillis(id)
                + mEvidence.failureMillis(id);
    }

    private double expectedMillis(
            Upstream upstream,
            UpstreamDirectory.Need need,
            Set<String> ejected,
            double unobservedSlowness,
            long nowNanos) {
        double millis =
                upstream.expectedMillis(
                        nominalMillis(upstream, need), unobservedSlowness, nowNanos);
        boolean isEjected = ejected.contains(upstream.registration().id());
        return isEjected ? millis + UpstreamHealth.EJECTED_MILLIS : millis;
    }

    /**
     * Returns the time in which an upstream would finish the work at its usual speed, including its
     * backlog. The usual speed is that of the service, and for an engine its own if entries have
     * measured it.
     */
    double nominalMillis(Upstream upstream, UpstreamDirectory.Need need) {
        double millis = upstream.nominalMillis(need.workMillis(), need.backlog());
        return need.stage() == Stage.NONE
                ? millis
                : millis * mEvidence.slowness(upstream.registration().id());
    }

    /** Estimates the time in which the best upstream would finish the work. */
    OptionalDouble estimateMillis(UpstreamDirectory.Need need, long nowNanos) {
        double unobservedSlowness = unobservedSlowness(need.service(), need.stage(), nowNanos);
        Set<String> ejected = ejected(need.service(), need.stage());
        return candidates(need, Set.of()).stream()
                .mapToDouble(
                        upstream ->
                                expectedMillis(
                                        upstream, need, ejected, unobservedSlowness, nowNanos))
                .min();
    }

    /**
     * Returns the ids of the upstreams that are ejected or persistently refuse work of this
     * instance; empty if there is no other upstream that the constraint permits.
     */
    Set<String> avoided(String service, Stage stage, VersionConstraint constraint, long nowNanos) {
        Set<String> ejected = ejected(service, stage);
        Set<String> avoided = new HashSet<>();
        boolean hasOther = false;
        for (Upstream upstream : mUpstreams.available(service, stage).toList()) {
            if (!constraint.permits(upstream.registration())) {
                continue;
            }
            String id = upstream.registration().id();
            if (upstream.isAvoided(nowNanos) || ejected.contains(id)) {
                avoided.add(id);
            } else {
                hasOther = true;
            }
        }
        return hasOther ? avoided : Set.of();
    }
}
