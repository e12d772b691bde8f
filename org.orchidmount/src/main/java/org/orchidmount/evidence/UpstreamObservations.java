/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import org.orchidmount.membership.Incarnation;

/**
 * What one entry has observed of one upstream since its previous report. Immutable.
 *
 * @param upstream the upstream and its incarnation
 * @param successes requests that the upstream has answered with success
 * @param failures requests that failed and that the upstream may have run
 * @param unreachable calls for which no connection or no response came
 * @param logSlownessSum sum of the natural logarithms of the slowness of each measured piece of
 *     work: the time that it took, divided by the time expected at the mean speed of the service
 * @param slownessCount number of measured pieces of work
 */
public record UpstreamObservations(
        Incarnation upstream,
        int successes,
        int failures,
        int unreachable,
        double logSlownessSum,
        int slownessCount) {}
