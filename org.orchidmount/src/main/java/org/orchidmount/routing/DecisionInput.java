/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.List;

/**
 * Complete input of a decision, apart from the random source. Immutable.
 *
 * @param request the request
 * @param prefill engines of the model's prefill pool
 * @param decode engines of the model's decode pool
 * @param zone availability zone of this instance
 * @param turn number of the decision at this instance, for round-robin
 * @param nowNanos current monotonic time
 */
public record DecisionInput(
        RequestInfo request,
        List<Candidate> prefill,
        List<Candidate> decode,
        String zone,
        long turn,
        long nowNanos) {}
