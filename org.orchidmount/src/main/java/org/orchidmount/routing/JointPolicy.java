/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.orchidmount.clock.Millis;

/**
 * The default policy: chooses the decode engine, its link and the prefill engine together.
 *
 * <p>A request is placed only if a decode engine has a free slot and enough memory, because an
 * engine discards the result of a prefill within seconds if no decode follows. Among the possible
 * placements, the policy takes the pair with the earliest predicted first token. The prediction
 * adds the prefill engine's backlog and the uncached part of the prompt, at the engine's measured
 * rate, and the transfer of the KV cache behind the pending transfers on the decode engine's link.
 * Emptier decode engines are preferred. A request whose first token would be late is refused
 * immediately. Stateless and thread-safe.
 */
public final class JointPolicy implements Policy {
    /** Name of this routing policy in settings and reports. */
    public static final String NAME = "orchidmount";

    private static final double MILLIS_PER_SECOND = 1e3;

    /** Cost of a full decode engine relative to an empty one, in milliseconds. */
    private static final double OCCUPANCY_MILLIS = 200;

    /** Cost of another availability zone, in milliseconds. */
    private static final double CROSS_ZONE_MILLIS = 2;

    /**
     * Costs that differ by no more than this count as equal; one of them is then chosen at random.
     */
    private static final double TIE_MILLIS = 0.5;

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Decision decide(DecisionInput input, RandomGenerator random) {
        RequestInfo request = input.request();
        if (isTooLarge(request, input.decode())) {
            return new Decision.Refuse(Decision.RefuseReason.TOO_LARGE, 0);
        }
        Scored decode = best(input.decode(), c -> decodeMillis(input, c), random);
        Scored prefill = best(input.prefill(), c -> prefillMillis(input, c), random);
        double waitedMillis = Millis.ofNanos(input.nowNanos() - request.arrivedNanos());
        if (prefill == null) {
            return waitOrRefuse(request, waitedMillis, Decision.WaitReason.NO_PREFILL);
        }
        if (decode == null) {
            return waitOrRefuse(request, waitedMillis, Decision.WaitReason.NO_DECODE);
        }
        double remainingMillis =
                prefillMillis(input, prefill.candidate())
                        + transferMillis(request, decode.candidate().upstream());
        long predictedMillis = (long) Math.ceil(waitedMillis + remainingMillis);
        if (request.maxFirstTokenMillis() > 0 && predictedMillis > request.maxFirstTokenMillis()) {
            return new Decision.Refuse(
                    Decision.RefuseReason.TOO_LATE,
                    Math.max(RetryAfter.TABLE_MILLIS, (long) remainingMillis));
        }
        return new Decision.Place(
                prefill.candidate().upstream().name(),
                decode.candidate().upstream().name(),
                prefill.candidate().cachedTokens());
    }

    private static Decision waitOrRefuse(
            RequestInfo request, double waitedMillis, Decision.WaitReason reason) {
        if (request.maxFirstTokenMillis() > 0 && waitedMillis > request.maxFirstTokenMillis()) {
            return new Decision.Refuse(Decision.RefuseReason.TOO_LATE, RetryAfter.TABLE_MILLIS);
        }
        return new Decision.Wait(reason);
    }

    private static boolean isTooLarge(RequestInfo request, List<Candidate> decode) {
        return !decode.isEmpty()
                && decode.stream().allMatch(c -> c.upstream().kvBytes() < request.kvBytes());
    }

    private static double prefillMillis(DecisionInput input, Candidate candidate) {
        UpstreamView upstream = candidate.upstream();
        if (!upstream.available() || !upstream.hasSlot()) {
            return Double.POSITIVE_INFINITY;
        }
        int uncached = Math.max(1, input.request().promptTokens() - candidate.cachedTokens());
        double millis =
                (upstream.backlogTokens() + uncached)
                        * MILLIS_PER_SECOND
                        / upstream.prefillTokensPerSecond();
        return millis + zoneMillis(input, upstream);
    }

    private static double decodeMillis(DecisionInput input, Candidate candidate) {
        UpstreamView upstream = candidate.upstream();
        boolean fits = upstream.freeKvBytes() >= input.request().kvBytes();
        if (!upstream.available() || !upstream.hasSlot() || !fits) {
            return Double.POSITIVE_INFINITY;
        }
        double occupancy = (double) upstream.kvBytesTaken() / upstream.kvBytes();
        return transferMillis(input.request(), upstream)
                + OCCUPANCY_MILLIS * occupancy / upstream.weight()
                + zoneMillis(input, upstream);
    }

    private static double transferMillis(RequestInfo request, UpstreamView decode) {
        return (decode.linkBacklogBytes() + request.promptKvBytes())
                * MILLIS_PER_SECOND
                / decode.linkBytesPerSecond();
    }

    private static double zoneMillis(DecisionInput input, UpstreamView upstream) {
        return upstream.zone().equals(input.zone()) ? 0 : CROSS_ZONE_MILLIS;
    }

    private static Scored best(List<Candidate> candidates, Cost cost, RandomGenerator random) {
        Scored best = null;
        int ties = 0;
        for (Candidate candidate : candidates) {
            double millis = cost.of(candidate);
            if (millis == Double.POSITIVE_INFINITY) {
                continue;
            }
            if (best == null || millis < best.millis() - TIE_MILLIS) {
                best = new Scored(candidate, millis);
                ties = 1;
            } else if (millis <= best.millis() + TIE_MILLIS) {
                ties++;
                if (random.nextInt(ties) == 0) {
                    best = new Scored(candidate, Math.min(millis, best.millis()));
                }
            }
        }
        return best;
    }

    private record Scored(Candidate candidate, double millis) {}

    @FunctionalInterface
    private interface Cost {
        double of(Candidate candidate);
    }
}
