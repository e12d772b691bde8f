/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.net.InetSocketAddress;

/**
 * Maps the address at which an upstream is registered to the one that is dialled, which differs
 * where addresses are translated on the way. Thread-safe.
 */
@FunctionalInterface
public interface AddressMap {
    /** Dials upstreams where they are registered. */
    AddressMap IDENTITY = address -> address;

    /**
     * Returns the address to dial.
     *
     * @param registered the address of the registration
     * @return the address to dial
     */
    InetSocketAddress toDialled(InetSocketAddress registered);
}
