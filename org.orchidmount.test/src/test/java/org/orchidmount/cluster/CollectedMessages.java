/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The messages that came over a link. Thread-safe. */
final class CollectedMessages implements Link.Handler {
    private final Queue<ClusterMessage> mReceived = new ConcurrentLinkedQueue<>();

    @Override
    public void received(Link link, ClusterMessage message) {
        mReceived.add(message);
    }

    @Override
    public void closed(Link link) {}

    /** Counts those of a type. */
    long count(Class<?> type) {
        return mReceived.stream().filter(type::isInstance).count();
    }
}
