/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

/** What a voter answers to an operator about the route table. */
public sealed interface TableAnswer {
    /** The change, or a newer one, is committed. */
    record Accepted(long version) implements TableAnswer {}

    /** Another table was accepted under this version before. */
    record Conflict(long version) implements TableAnswer {}

    /** The committed table; its document is empty while there is none. */
    record Current(long version, byte[] document) implements TableAnswer {}

    /** Another voter leads; it is to be asked. */
    record AskLeader(String controlAddress) implements TableAnswer {}

    /** No quorum answered; whether a change was taken is unknown. */
    record Unavailable() implements TableAnswer {}
}
