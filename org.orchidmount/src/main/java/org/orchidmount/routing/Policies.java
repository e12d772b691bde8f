/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.List;

/** Registry of policies by name. Stateless and thread-safe. */
public final class Policies {
    /** Names of all policies, the default first. */
    public static final List<String> NAMES =
            List.of(JointPolicy.NAME, RoundRobinPolicy.NAME, LeastLoadPolicy.NAME);

    private Policies() {}

    /**
     * Returns the policy with the given name.
     *
     * @param name name of the policy
     * @return the policy
     * @throws IllegalArgumentException if no policy has this name; the message lists the valid
     *     names
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
