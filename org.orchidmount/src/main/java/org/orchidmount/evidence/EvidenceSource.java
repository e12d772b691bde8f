/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.util.Optional;

/** Source of the reports that an entry sends to voters. Thread-safe. */
public interface EvidenceSource {
    /**
     * Returns what was observed since the previous call.
     *
     * @return the report; empty if there is nothing to report
     */
    Optional<EvidenceReport> drain();

    /**
     * Returns whether a failure was observed that must not wait for the next periodic report.
     *
     * @return true if a report should be sent now
     */
    boolean isUrgent();

    /**
     * Sets the action that is run when {@link #isUrgent} becomes true.
     *
     * @param action must not block
     */
    void onUrgent(Runnable action);
}
