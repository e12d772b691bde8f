/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/**
 * A replica of the group.
 *
 * @param id the identity, generated with the data folder; a replica that lost its disk gets a new
 *     one
 * @param address the host and port of the peer listener
 * @param controlAddress the host and port of the listener for operators and upstreams
 */
public record Member(String id, String address, String controlAddress) {
    // Explicit, since a record's generated methods are linked at run time and slow down the start.
    @Override
    public String toString() {
        return id + " at " + address;
    }
}
