/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.List;

/** The policies by name. Stateless and thread-safe. */
public final class Policies {
    /** All names, the default first. */
    public static final List<String> NAMES =
            List.of(JointPolicy.NAME, RoundRobinPolicy.NAME, LeastLoadPolicy.NAME);

    private Policies() {}

    /**
     * Finds a policy.
     *
     * @param name its name
     * @return the policy
     * @throws IllegalArgumentException if there is none; the message lists the names
     */
    public static Policy byName(String name) {
        return switch (name) {
            case JointPolicy.NAME -> new JointPolicy();
            case RoundRobinPolicy.NAME -> new RoundRobinPolicy();
            case LeastLoadPolicy.NAME -> new LeastLoadPolicy();
            default ->
                    throw new IllegalArgumentException(
                            "unknown policy '" + name + "'; use one of " + NAMES);
        };
    }
}
