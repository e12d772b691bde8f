/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

/** Reply of a voter to an operator's request about the route table. */
public sealed interface TableReply {
    /** The change or a newer version is committed. */
    record Accepted(long version) implements TableReply {}

    /** A different table was already accepted under this version. */
    record Conflict(long version) implements TableReply {}

    /** The committed table; the document is empty and the version 0 if there is none. */
    record Current(long version, byte[] document) implements TableReply {}

    /** Another voter leads; the request must be sent to its control address. */
    record NotLeader(String controlAddress) implements TableReply {}

    /** No quorum responded; a change may or may not have been accepted. */
    record Unavailable() implements TableReply {}
}
