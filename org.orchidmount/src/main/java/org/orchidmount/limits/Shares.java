/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

/**
 * Tells what part of a fleet-wide limit this instance may use. Implementations are thread-safe.
 *
 * <p>This is the seam at which leased shares replace the fixed ones.
 */
@FunctionalInterface
public interface Shares {
    /**
     * Returns this instance's part of a limit.
     *
     * @param key what is limited, for example "account mill-7"
     * @param limit the limit of the whole fleet, at least 1
     * @return the part, at least 1
     */
    int share(String key, int limit);

    /**
     * Returns shares that give the whole limit to this instance, for a fleet of one.
     *
     * @return the shares
     */
    static Shares whole() {
        return (key, limit) -> limit;
    }

    /**
     * Returns shares that divide each limit evenly. Rounding up, the sum may pass the limit by less
     * than one for each instance.
     *
     * @param instances the number of instances, at least 1
     * @return the shares
     */
    static Shares even(int instances) {
        return (key, limit) -> (limit + instances - 1) / instances;
    }
}
