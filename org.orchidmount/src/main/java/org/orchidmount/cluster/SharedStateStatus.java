/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

/**
 * Whether shared state is in force at an entry, for parts that are created before its node. Not in
 * force until {@link #follow} is called. Thread-safe.
 */
public final class SharedStateStatus {
    private volatile EntryNode mNode;

    /**
     * Follows a node from now on.
     *
     * @param node the node of this entry
     */
    public void follow(EntryNode node) {
        mNode = node;
    }

    /**
     * Returns whether shared state is in force.
     *
     * @return false as long as no node is followed
     */
    public boolean isInForce() {
        EntryNode node = mNode;
        return node != null && node.isSharedStateInForce();
    }

    /**
     * Returns the number of availability zones in which entries or voters are known.
     *
     * @return at least 1
     */
    public int zones() {
        EntryNode node = mNode;
        return node == null ? 1 : node.zones();
    }
}
