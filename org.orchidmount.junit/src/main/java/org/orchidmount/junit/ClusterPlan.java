/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * What a {@link Cluster} consists of. Immutable.
 *
 * @param entries the number of entry instances
 * @param prefill the number of prefill engines
 * @param decode the number of decode engines
 * @param plain the number of instances of the plain service
 * @param policy the routing policy
 * @param proxied true to put a {@link FaultProxy} before each upstream
 * @param engines changes the behaviour of each engine
 * @param settings entries that replace or extend the settings of each instance, by section
 */
public record ClusterPlan(
        int entries,
        int prefill,
        int decode,
        int plain,
        String policy,
        boolean proxied,
        UnaryOperator<EngineConfig> engines,
        Map<String, Map<String, Object>> settings) {
    /**
     * Returns a plan with small engines and default settings.
     *
     * @param entries the number of entry instances
     * @param prefill the number of prefill engines
     * @param decode the number of decode engines
     * @param plain the number of instances of the plain service
     * @return the plan
     */
    public static ClusterPlan of(int entries, int prefill, int decode, int plain) {
        return new ClusterPlan(
                entries,
                prefill,
                decode,
                plain,
                "orchidmount",
                false,
                UnaryOperator.identity(),
                Map.of());
    }

    /**
     * Returns this plan with a proxy before each upstream.
     *
     * @return the changed copy
     */
    public ClusterPlan withProxies() {
        return new ClusterPlan(entries, prefill, decode, plain, policy, true, engines, settings);
    }

    /**
     * Returns this plan with other engines.
     *
     * @param change changes the behaviour of each engine
     * @return the changed copy
     */
    public ClusterPlan withEngines(UnaryOperator<EngineConfig> change) {
        return new ClusterPlan(entries, prefill, decode, plain, policy, proxied, change, settings);
    }

    /**
     * Returns this plan with other settings.
     *
     * @param change entries by section, for example "drain"
     * @return the changed copy
     */
    public ClusterPlan withSettings(Map<String, Map<String, Object>> change) {
        return new ClusterPlan(entries, prefill, decode, plain, policy, proxied, engines, change);
    }
}
