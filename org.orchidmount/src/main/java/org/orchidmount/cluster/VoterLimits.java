/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.List;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.UpstreamLimitRecords;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registry;
import org.orchidmount.pacing.QuotaKeys;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.pacing.UpstreamLimits;

/**
 * The upstream limits held by a voter, which forwards new ones to all instances and stores them on
 * disk, so that an instance that has just started observes them too.
 *
 * <p>No consensus is needed, since merging records is independent of their order. Confined to the
 * voter's thread.
 */
final class VoterLimits implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("pacing");

    private final UpstreamLimits mLimits;
    private final VoterLinks mLinks;
    private final Persister<List<UpstreamLimit>> mPersister;

    /** Loads the limits on disk. */
    VoterLimits(
            String instance,
            RecordFile<UpstreamLimit> file,
            VoterLinks links,
            MonotonicClock clock) {
        mLimits = new UpstreamLimits(instance, clock);
        mLinks = links;
        mPersister = new Persister<>("limit-disk", file::write, written -> {});
        List<UpstreamLimit> limits = file.read();
        mLimits.merge(limits);
        if (!limits.isEmpty()) {
            LOG.info("loaded %d upstream limits from disk", limits.size());
        }
    }

    /** Sends all limits to a newly linked peer that supports them. */
    void sendAllTo(Link link, ClusterMessage.Greeting peer) {
        if (!mLimits.isEmpty() && peer.supports(Capability.UPSTREAM_LIMITS)) {
            link.send(new UpstreamLimitRecords(mLimits.all()));
        }
    }

    /** Merges the limits of another instance and forwards the changes. */
    void received(UpstreamLimitRecords records) {
        List<UpstreamLimit> changed = mLimits.merge(records.limits());
        if (changed.isEmpty()) {
            return;
        }
        mLinks.sendToAllSupporting(Capability.UPSTREAM_LIMITS, new UpstreamLimitRecords(changed));
        mPersister.persist(mLimits.all());
    }

    /** Removes the limits of upstreams that have left or restarted. */
    void forgetEnded(Registry registry) {
        mLimits.forget(
                upstream ->
                        registry.find(upstream.id())
                                .filter(held -> UpstreamLimits.isEnded(upstream, held))
                                .isPresent());
    }

    /** Returns the limits in force with their counted use. */
    List<UpstreamLimitUse> limitsWithUse(VoterQuota quota) {
        return mLimits.all().stream()
                .filter(UpstreamLimit::isInForce)
                .map(limit -> use(limit, quota))
                .toList();
    }

    private static UpstreamLimitUse use(UpstreamLimit limit, VoterQuota quota) {
        return new UpstreamLimitUse(limit, quota.granted(QuotaKeys.ofUpstream(limit.upstream())));
    }

    @Override
    public void close() {
        mPersister.close();
    }
}
