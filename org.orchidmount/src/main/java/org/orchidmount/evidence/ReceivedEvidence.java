/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.membership.Incarnation;

/**
 * Evidence of one upstream as received in a digest. Immutable.
 *
 * @param evidence the evidence, with ages as of its receipt
 * @param receivedNanos monotonic time of receipt
 */
record ReceivedEvidence(UpstreamEvidence evidence, long receivedNanos) {
    /** Bound of a stated number of measurements; far more than an engine completes in a minute. */
    private static final double MAX_WEIGHT = 10_000;

    /**
     * Unites what several sources state of one upstream. Witnesses are united by instance, since an
     * entry that changes its voter is known to both; shares and slowness are averaged by weight.
     *
     * @param upstream the upstream
     * @param parts the parts
     * @param nowNanos current monotonic time
     * @return the evidence with ages as of now; it may have more witnesses than a digest
     */
    static UpstreamEvidence unite(
            Incarnation upstream, Collection<ReceivedEvidence> parts, long nowNanos) {
        Map<String, Witness> witnesses = new HashMap<>();
        long successAgeMillis = UpstreamEvidence.NEVER;
        double share = 0;
        double shareWeight = 0;
        double logSum = 0;
        double logWeight = 0;
        for (ReceivedEvidence part : parts) {
            UpstreamEvidence evidence = part.evidence();
            long ageMillis = Duration.ofNanos(nowNanos - part.receivedNanos()).toMillis();
            double decay = SlownessRule.weight(nowNanos - part.receivedNanos());
            for (Witness witness : evidence.witnesses()) {
                Witness aged =
                        new Witness(
                                witness.instance(),
                                witness.zone(),
                                Math.max(0, witness.ageMillis()) + ageMillis);
                witnesses.merge(aged.instance(), aged, ReceivedEvidence::newer);
            }
            if (evidence.successAgeMillis() >= 0) {
                long successMillis = evidence.successAgeMillis() + ageMillis;
                successAgeMillis =
                        successAgeMillis == UpstreamEvidence.NEVER
                                ? successMillis
                                : Math.min(successAgeMillis, successMillis);
            }
            double weight = bounded(evidence.slownessWeight(), MAX_WEIGHT) * decay;
            // The number of requests behind a share is not stated. The number of measurements is
            // close to it for engines; plain upstreams have none and are averaged evenly.
            share += (1 + weight) * decay * bounded(evidence.failureShare(), 1);
            shareWeight += 1 + weight;
            logSum += weight * finite(evidence.meanLogSlowness());
            logWeight += weight;
        }
        List<Witness> newestFirst =
                witnesses.values().stream()
                        .sorted(
                                Comparator.comparingLong(Witness::ageMillis)
                                        .thenComparing(Witness::instance))
                        .toList();
        return new UpstreamEvidence(
                upstream,
                newestFirst,
                successAgeMillis,
                shareWeight > 0 ? share / shareWeight : 0,
                logWeight > 0 ? logSum / logWeight : 0,
                logWeight);
    }

    private static Witness newer(Witness a, Witness b) {
        return a.ageMillis() <= b.ageMillis() ? a : b;
    }

    private static double bounded(double value, double max) {
        return Double.isFinite(value) ? Math.clamp(value, 0, max) : 0;
    }

    private static double finite(double value) {
        return Double.isFinite(value) ? value : 0;
    }
}
