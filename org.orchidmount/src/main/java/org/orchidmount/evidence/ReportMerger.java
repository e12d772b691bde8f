/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.util.Optional;
import org.orchidmount.membership.Incarnation;

/** Merges the reports of entries at a voter. Confined to the voter's thread. */
public interface ReportMerger {
    /**
     * Merges a report.
     *
     * @param instance name of the reporting entry, from the greeting of its link
     * @param zone availability zone of the reporting entry, from the same greeting
     * @param report the report
     * @param nowNanos current monotonic time
     */
    void merge(String instance, String zone, EvidenceReport report, long nowNanos);

    /**
     * Records the registered incarnation of an upstream; evidence about earlier ones is discarded.
     *
     * @param upstream the upstream and its incarnation
     */
    void onRegistration(Incarnation upstream);

    /**
     * Returns whether a failure was merged that no digest has contained yet.
     *
     * @return true if a digest should be sent without waiting for the next periodic one
     */
    boolean hasNewFailures();

    /**
     * Returns what has changed since the previous digest.
     *
     * @param nowNanos current monotonic time
     * @return the digest; empty if nothing has changed
     */
    Optional<EvidenceDigest> digest(long nowNanos);
}
