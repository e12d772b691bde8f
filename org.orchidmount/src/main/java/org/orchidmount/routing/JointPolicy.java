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
 * The product's policy: chooses decode engine, link and prefill engine together.
 *
 * <p>A request is placed only if a decode engine has a slot and memory for it, because the result
 * of a prefill whose decode has no place is thrown away within seconds. Among the places it takes
 * the pair with the earliest predicted first token: the prefill engine's backlog and the uncached
 * part of the prompt at its measured rate, then the transfer behind what the decode engine's link
 * has still to carry. Of decode engines it prefers the emptier ones. A request whose first token
 * would come too late is refused at once. Stateless and thread-safe.
 */
public final class JointPolicy implements Policy {
    /** The policy's name. */
    public static final String NAME = "orchidmount";

    private static final double MILLIS_PER_SECOND = 1e3;

    /** What a full decode engine costs against an empty one, in milliseconds. */
    private static final double FULLNESS_MILLIS = 200;

    /** What another availability zone costs, in milliseconds. */
    private static final double OTHER_ZONE_MILLIS = 2;

    /** Scores closer than this count as equal; then a random one is taken. */
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
        double ahead =
                prefillMillis(input, prefill.candidate())
                        + transferMillis(request, decode.candidate().upstream());
        long predicted = (long) Math.ceil(waitedMillis + ahead);
        if (request.maxFirstTokenMillis() > 0 && predicted > request.maxFirstTokenMillis()) {
            return new Decision.Refuse(
                    Decision.RefuseReason.TOO_LATE,
                    Math.max(RetryAfter.TABLE_MILLIS, (long) ahead));
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
        double fullness = (double) upstream.kvBytesTaken() / upstream.kvBytes();
        return transferMillis(input.request(), upstream)
                + FULLNESS_MILLIS * fullness / upstream.weight()
                + zoneMillis(input, upstream);
    }

    private static double transferMillis(RequestInfo request, UpstreamView decode) {
        return (decode.linkBacklogBytes() + request.promptKvBytes())
                * MILLIS_PER_SECOND
                / decode.linkBytesPerSecond();
    }

    private static double zoneMillis(DecisionInput input, UpstreamView upstream) {
        return upstream.zone().equals(input.zone()) ? 0 : OTHER_ZONE_MILLIS;
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
