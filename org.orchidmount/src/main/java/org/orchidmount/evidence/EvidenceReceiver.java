/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

/** Receives the digests that voters send to an entry. Thread-safe. */
public interface EvidenceReceiver {
    /**
     * Handles a digest.
     *
     * @param voter cluster address of the sender; it replaces what that voter sent before for the
     *     same upstreams
     * @param digest the digest
     */
    void onDigest(String voter, EvidenceDigest digest);
}
