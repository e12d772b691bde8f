/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Baseline policy: chooses the engine with the least load by the engines' own reports. Stateless
 * and thread-safe.
 */
public final class LeastLoadPolicy implements Policy {
    /** Name of this routing policy in settings and reports. */
    public static final String NAME = "least-load";

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Decision decide(DecisionInput input, RandomGenerator random) {
        Optional<Candidate> prefill = least(input.prefill(), random);
        Optional<Candidate> decode = least(input.decode(), random);
        if (prefill.isEmpty()) {
            return new Decision.Wait(Decision.WaitReason.NO_PREFILL);
        }
        if (decode.isEmpty()) {
            return new Decision.Wait(Decision.WaitReason.NO_DECODE);
        }
        return new Decision.Place(
                prefill.get().upstream().name(), decode.get().upstream().name(), 0);
    }

    private static Optional<Candidate> least(List<Candidate> candidates, RandomGenerator random) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int offset = random.nextInt(candidates.size());
        Candidate best = null;
        Comparator<Candidate> order =
                Comparator.comparingInt((Candidate c) -> c.upstream().reportedRunning())
                        .thenComparingLong(c -> c.upstream().reportedKvBytes());
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get((i + offset) % candidates.size());
            boolean better = best == null || order.compare(candidate, best) < 0;
            if (candidate.upstream().available() && better) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }
}
