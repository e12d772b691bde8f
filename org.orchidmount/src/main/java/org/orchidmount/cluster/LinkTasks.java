/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.orchidmount.cluster.ClusterMessage.KeepAlive;

/**
 * Hands the events of the links of a node to its thread; drops keep-alives. Thread-safe.
 *
 * @param tasks the node's thread
 * @param onMessage handles a message on that thread
 * @param onClosed handles the end of a link on that thread
 */
record LinkTasks(
        TaskThread tasks, BiConsumer<Link, ClusterMessage> onMessage, Consumer<Link> onClosed)
        implements Link.Handler {
    @Override
    public void received(Link link, ClusterMessage message) {
        if (!(message instanceof KeepAlive)) {
            tasks.post(() -> onMessage.accept(link, message));
        }
    }

    @Override
    public void closed(Link link) {
        tasks.post(() -> onClosed.accept(link));
    }
}
