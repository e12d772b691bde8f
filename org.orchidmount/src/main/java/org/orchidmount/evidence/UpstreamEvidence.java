/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.util.List;
import org.orchidmount.membership.Incarnation;

/**
 * What a voter knows of one upstream from the reports of entries. Immutable.
 *
 * @param upstream the upstream and its incarnation
 * @param witnesses the latest failure of each reporting entry, newest first, at most {@link
 *     #MAX_WITNESSES}; entries of different availability zones are kept in preference
 * @param successAgeMillis time since the latest reported success; {@link #NEVER} if none
 * @param failureShare failed requests divided by all requests reported within the retention
 * @param meanLogSlowness mean of the natural logarithms of the measured slowness
 * @param slownessWeight number of measurements behind the mean, decayed by age
 */
public record UpstreamEvidence(
        Incarnation upstream,
        List<Witness> witnesses,
        long successAgeMillis,
        double failureShare,
        double meanLogSlowness,
        double slownessWeight) {
    /** Maximum number of witnesses of an upstream. */
    public static final int MAX_WITNESSES = 4;

    /** Value of an age if there was no such event. */
    public static final long NEVER = -1;

    /** Creates evidence with its own copy of the list. */
    public UpstreamEvidence {
        witnesses = List.copyOf(witnesses);
    }

    /**
     * An entry that has seen the upstream fail.
     *
     * @param instance name of the entry
     * @param zone availability zone of the entry
     * @param ageMillis time since its latest failure
     */
    public record Witness(String instance, String zone, long ageMillis) {}
}
