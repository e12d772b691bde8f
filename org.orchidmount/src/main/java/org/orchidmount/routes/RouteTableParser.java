/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

/** Reads the form in which an operator sends a route table. Implementations are thread-safe. */
@FunctionalInterface
public interface RouteTableParser {
    /**
     * Reads and checks a table.
     *
     * @param document the table as it was sent
     * @return the table
     * @throws IllegalArgumentException if it is invalid; the message names place and remedy
     */
    RouteTable parse(byte[] document);
}
