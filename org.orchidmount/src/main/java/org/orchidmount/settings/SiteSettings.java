/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.orchidmount.cluster.HostPort;
import org.orchidmount.quota.QuotaTolerance;
import org.orchidmount.relay.UnreadRule;
import org.orchidmount.routing.BodyMemoryRule;

/**
 * The checked settings of an instance of a site whose upstreams register themselves. Immutable.
 *
 * @param instance the instance's name
 * @param zone its availability zone
 * @param cluster where it listens to other instances
 * @param seeds addresses of the operators' interface of some voters
 * @param entry set if the instance serves callers
 * @param voter set if the instance votes
 * @param retries the limit on attempts beyond the first
 * @param limits by how much a window may exceed a limit of a client account
 * @param keyRevocation after which time a withdrawn key must not be served by an instance that may
 *     not know that it is withdrawn; nothing if it may serve on
 * @param sharedState set if entries share what they know of upstreams and of waiting requests
 * @param stop how long a planned stop may take
 * @param suspensionsAfter how long after its start an instance begins to count the time that its
 *     machine is suspended
 * @param unreadResponses what an instance that serves callers holds of responses that they do not
 *     read; nothing if it waits for them to read
 * @param requestBodies what an instance holds of the bodies of requests; a share of its heap if
 *     empty
 * @param log the form of the logs
 */
public record SiteSettings(
        String instance,
        String zone,
        HostPort cluster,
        List<HostPort> seeds,
        Optional<Entry> entry,
        Optional<Voter> voter,
        Retries retries,
        QuotaTolerance limits,
        Optional<Duration> keyRevocation,
        Optional<SharedState> sharedState,
        Duration stop,
        Duration suspensionsAfter,
        Optional<UnreadRule> unreadResponses,
        Optional<BodyMemoryRule> requestBodies,
        Settings.Log log) {
    /** Copies the list of seeds. */
    public SiteSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns what this process holds of the bodies of requests.
     *
     * @return the setting, or a share of the heap that has no other use
     */
    public BodyMemoryRule bodyMemory() {
        long unreadBytes = unreadResponses.map(UnreadRule::totalBytes).orElse(0L);
        return requestBodies.orElseGet(
                () -> BodyMemoryRule.ofHeap(Runtime.getRuntime().maxMemory(), unreadBytes));
    }

    /**
     * Returns what an instance that serves callers holds of the bodies of requests and responses.
     *
     * @param mostBytes the largest response
     * @return the rule for requests, and a larger bound with responses
     */
    public BodyMemoryRule bodyMemory(long mostBytes) {
        long unreadBytes = unreadResponses.map(UnreadRule::totalBytes).orElse(0L);
        long heapBytes = Runtime.getRuntime().maxMemory();
        return bodyMemory().withResponses(heapBytes, unreadBytes, mostBytes);
    }

    /**
     * When entries share what they know of upstreams and of waiting requests.
     *
     * @param entriesPerSlot number of entries for each slot of an engine from which on they do
     * @param hasQueueOrder whether requests that wait for engines are placed in order over all
     *     entries
     */
    public record SharedState(int entriesPerSlot, boolean hasQueueOrder) {}

    /**
     * The settings of an instance that serves callers.
     *
     * @param callers where it listens to callers
     * @param ready where it tells whether it takes work
     * @param tunnels where it opens tunnels for other instances; empty if it opens none
     */
    public record Entry(HostPort callers, HostPort ready, Optional<HostPort> tunnels) {}

    /**
     * The settings of an instance that votes.
     *
     * @param operators where it listens to operators and upstreams
     * @param dataFolder where its state is kept
     * @param firstStart true only at the first start of the whole site
     * @param lossesBorne how many voters may be lost at once
     * @param engines how orders to engines are given
     */
    public record Voter(
            HostPort operators,
            Path dataFolder,
            boolean firstStart,
            int lossesBorne,
            Engines engines) {}

    /**
     * How orders to engines are given.
     *
     * @param lease how long a holder's orders may be under way
     * @param heartbeat the pause between two messages of an upstream
     * @param prefillShare the share of prefill engines
     */
    public record Engines(Duration lease, Duration heartbeat, double prefillShare) {}

    /**
     * What all instances together may add in attempts beyond the first.
     *
     * @param ratio extra attempts for each request
     * @param window the span over which is counted
     * @param slack extra attempts beyond the ratio in each span
     */
    public record Retries(double ratio, Duration window, int slack) {}
}
