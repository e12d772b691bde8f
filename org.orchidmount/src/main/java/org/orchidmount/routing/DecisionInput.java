/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.List;

/**
 * All that a decision depends on, besides its random source. Immutable.
 *
 * @param request the request
 * @param prefill the engines of the model's prefill pool
 * @param decode the engines of the model's decode pool
 * @param zone the availability zone of this instance
 * @param turn counts the decisions of this instance
 * @param nowNanos the monotonic time
 */
public record DecisionInput(
        RequestInfo request,
        List<Candidate> prefill,
        List<Candidate> decode,
        String zone,
        long turn,
        long nowNanos) {}
