/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Baseline policy: chooses the available engines in turn, regardless of load. Stateless and
 * thread-safe.
 */
public final class RoundRobinPolicy implements Policy {
    /** Name of this routing policy in settings and reports. */
    public static final String NAME = "round-robin";

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Decision decide(DecisionInput input, RandomGenerator random) {
        List<Candidate> prefill = available(input.prefill());
        List<Candidate> decode = available(input.decode());
        if (prefill.isEmpty()) {
            return new Decision.Wait(Decision.WaitReason.NO_PREFILL);
        }
        if (decode.isEmpty()) {
            return new Decision.Wait(Decision.WaitReason.NO_DECODE);
        }
        Candidate first = prefill.get((int) (input.turn() % prefill.size()));
        Candidate second = decode.get((int) (input.turn() % decode.size()));
        return new Decision.Place(first.upstream().name(), second.upstream().name(), 0);
    }

    private static List<Candidate> available(List<Candidate> candidates) {
        return candidates.stream().filter(c -> c.upstream().available()).toList();
    }
}
