/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/**
 * A replica of the group.
 *
 * @param id the identity, made together with the data folder; a replica that lost its disk has
 *     another
 * @param address host and port at which the replica listens to its peers
 * @param controlAddress host and port at which the replica serves operators and upstreams
 */
public record Member(String id, String address, String controlAddress) {
    // Written out, because the compiler's version is linked at run time, early in each start.
    @Override
    public String toString() {
        return id + " at " + address;
    }
}
