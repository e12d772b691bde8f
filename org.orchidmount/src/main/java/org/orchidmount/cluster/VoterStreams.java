/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.StreamRecords;
import org.orchidmount.cluster.ClusterMessage.StreamReply;
import org.orchidmount.cluster.ClusterMessage.StreamRequest;
import org.orchidmount.stream.StreamRegistry;

/**
 * The origins of streams that entries have told a voter. They are not forwarded: an entry sends
 * them to several voters, and one that needs an origin asks all. Confined to the voter's thread.
 */
final class VoterStreams {
    private final StreamRegistry mStreams;

    VoterStreams(MonotonicClock clock) {
        mStreams = new StreamRegistry(clock);
    }

    /** Handles a message about origins of streams; returns false for other messages. */
    boolean received(Link link, ClusterMessage message) {
        if (message instanceof StreamRecords records) {
            records.streams().forEach(mStreams::add);
        } else if (message instanceof StreamRequest request) {
            link.send(new StreamReply(request.number(), mStreams.find(request.key())));
        } else {
            return false;
        }
        return true;
    }

    /** Removes what no caller can continue any more. */
    void removeExpired() {
        mStreams.removeExpired();
    }
}
