/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.util.List;

/**
 * The observations of one entry since its previous report, as sent to one voter in each
 * availability zone. Immutable.
 *
 * @param observations at most {@link #MAX_UPSTREAMS}, each upstream once
 */
public record EvidenceReport(List<UpstreamObservations> observations) {
    /** Maximum number of upstreams in a report; the others follow in the next one. */
    public static final int MAX_UPSTREAMS = 64;

    /** Creates a report with its own copy of the list. */
    public EvidenceReport {
        observations = List.copyOf(observations);
    }
}
