/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.random.RandomGenerator;

/**
 * Decides where a request runs.
 *
 * <p>Implementations are pure: they hold no state, do no I/O and read no clock, so that a decision
 * can be tested, replayed and measured in isolation. Thread-safe.
 */
public interface Policy {
    /**
     * Returns the name of the policy in settings and reports.
     *
     * @return the name
     */
    String name();

    /**
     * Decides on one request.
     *
     * @param input state on which the decision is based
     * @param random random source for breaking ties
     * @return the decision
     */
    Decision decide(DecisionInput input, RandomGenerator random);
}
