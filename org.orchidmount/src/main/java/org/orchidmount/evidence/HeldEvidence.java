/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.membership.Incarnation;

/**
 * What an entry holds of one incarnation of an upstream: the latest evidence of each voter, its own
 * latest success and failure, and the ejection. Guarded by the lock of {@link SharedEvidence}.
 */
final class HeldEvidence {
    /** Time after which a probe without a result, for example a cancelled one, is repeated. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);

    /** Name of the entry's own observations among the voters; no address is empty. */
    private static final String OWN = "";

    private final Incarnation mUpstream;
    private final Map<String, ReceivedEvidence> mByVoter = new HashMap<>();
    private Ejection mEjection = Ejection.NONE;
    private boolean mIsProbing;
    private long mProbedNanos;

    HeldEvidence(Incarnation upstream) {
        mUpstream = upstream;
    }

    Incarnation upstream() {
        return mUpstream;
    }

    Ejection ejection() {
        return mEjection;
    }

    void put(String voter, UpstreamEvidence evidence, long nowNanos) {
        mByVoter.put(voter, new ReceivedEvidence(evidence, nowNanos));
    }

    /** Adds an own success, which this entry knows before any voter does. */
    void ownSuccess(long nowNanos) {
        mIsProbing = false;
        own(List.of(), 0, nowNanos);
    }

    /** Adds an own failure. */
    void ownFailure(Witness witness, long nowNanos) {
        mIsProbing = false;
        ReceivedEvidence before = mByVoter.get(OWN);
        long successAgeMillis = UpstreamEvidence.NEVER;
        if (before != null && before.evidence().successAgeMillis() != UpstreamEvidence.NEVER) {
            long sinceNanos = nowNanos - before.receivedNanos();
            successAgeMillis =
                    before.evidence().successAgeMillis() + Duration.ofNanos(sinceNanos).toMillis();
        }
        own(List.of(witness), successAgeMillis, nowNanos);
    }

    private void own(List<Witness> witnesses, long successAgeMillis, long nowNanos) {
        put(OWN, new UpstreamEvidence(mUpstream, witnesses, successAgeMillis, 0, 0, 0), nowNanos);
    }

    /** Returns the united evidence of all voters, with own observations if {@code withOwn}. */
    UpstreamEvidence united(boolean withOwn, long nowNanos) {
        List<ReceivedEvidence> parts = new ArrayList<>();
        mByVoter.forEach(
                (voter, part) -> {
                    if (withOwn || !voter.equals(OWN)) {
                        parts.add(part);
                    }
                });
        return ReceivedEvidence.unite(mUpstream, parts, nowNanos);
    }

    /** Discards parts that are older than the retention; returns whether any is left. */
    boolean retain(Duration retention, long nowNanos) {
        mByVoter.values().removeIf(part -> nowNanos - part.receivedNanos() > retention.toNanos());
        return !mByVoter.isEmpty();
    }

    /** Applies the rule to the current evidence; returns whether a new ejection has begun. */
    boolean evaluate(UpstreamEvidence evidence, int zones, long nowNanos) {
        Ejection before = mEjection;
        mEjection = EjectionRule.next(before, evidence, digestAgeMillis(nowNanos), zones, nowNanos);
        return mEjection.count() > 0 && mEjection.sinceNanos() != before.sinceNanos();
    }

    private long digestAgeMillis(long nowNanos) {
        return mByVoter.entrySet().stream()
                .filter(part -> !part.getKey().equals(OWN))
                .mapToLong(part -> nowNanos - part.getValue().receivedNanos())
                .map(nanos -> Duration.ofNanos(nanos).toMillis())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    void beginProbe(long nowNanos) {
        mIsProbing = true;
        mProbedNanos = nowNanos;
    }

    /** Returns whether this entry must avoid the upstream now. */
    boolean isAvoided(UpstreamEvidence evidence, String instance, long nowNanos) {
        if (!mEjection.isInForce()) {
            return false;
        }
        boolean probing = mIsProbing && nowNanos - mProbedNanos < PROBE_TIMEOUT.toNanos();
        return probing || !EjectionRule.mayProbe(mEjection, evidence, instance, nowNanos);
    }
}
