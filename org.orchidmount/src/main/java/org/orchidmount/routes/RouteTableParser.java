/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

/**
 * Parses route tables from the format in which operators submit them. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface RouteTableParser {
    /**
     * Parses and validates a table.
     *
     * @param document table as submitted
     * @return the table
     * @throws IllegalArgumentException if the document is invalid; the message names the place of
     *     the error and the remedy
     */
    RouteTable parse(byte[] document);
}
