/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import org.orchidmount.evidence.SlownessRule;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.PrefillRule;
import org.orchidmount.routing.UpstreamCost;

/**
 * Estimates what one prompt costs at each decode engine of its service, from the sequences in
 * flight there and the speed of the engine. Thread-safe.
 */
final class EngineCosts implements UpstreamDirectory.Backlog {
    private final RelayContext mContext;
    private final Service mService;
    private final int mPromptTokens;
    private final Duration mMaxEventGap;

    EngineCosts(RelayContext context, Service service, int promptTokens, Duration maxEventGap) {
        mContext = context;
        mService = service;
        mPromptTokens = promptTokens;
        mMaxEventGap = maxEventGap;
    }

    /**
     * Estimates the backlog of an engine so that engines with more free memory and fewer queued
     * prefills are preferred. It is the time at the mean speed of the service, which the directory
     * scales to the speed of the engine.
     */
    @Override
    public double millis(String upstreamId, double ownMillis) {
        int prefillTokens = mContext.loads().prefillBacklogTokens(upstreamId);
        return ownMillis
                + meanSpeed().decodeEngineMillis(prefillTokens)
                + UpstreamCost.memoryMillis(memoryShare(upstreamId), requestMillis());
    }

    @Override
    public double extraCostMillis(String upstreamId) {
        return UpstreamCost.extraOutputMillis(
                mContext.evidence().slowness(upstreamId), meanSpeed().outputMillis());
    }

    /** Returns the work of the request at the mean speed of the service. */
    double requestMillis() {
        return meanSpeed().requestMillis(mPromptTokens);
    }

    /** Returns the speed of one engine. */
    EngineSpeed engineSpeed(String upstreamId) {
        return mContext.engineSpeed(mService.name(), upstreamId);
    }

    /**
     * Returns the speed at which the sequences of an engine are assumed to grow, at most the mean
     * of the service. An overestimated speed makes outputs look nearly complete, so that too many
     * are placed at the engine and it has to preempt some.
     */
    EngineSpeed growthSpeed(String upstreamId) {
        double slowness = mContext.evidence().slowness(upstreamId);
        return meanSpeed().slowedBy(Math.max(SlownessRule.NOMINAL, slowness));
    }

    private EngineSpeed meanSpeed() {
        return mContext.speedEstimator(mService.name()).speed();
    }

    private double memoryShare(String upstreamId) {
        double memoryTokens = mService.engine().map(Service.Engine::kvCacheTokens).orElse(0L);
        return memoryTokens > 0 ? usedMemoryTokens(upstreamId) / memoryTokens : 0;
    }

    private double usedMemoryTokens(String upstreamId) {
        return mContext.loads().usedMemoryTokens(upstreamId, growthSpeed(upstreamId));
    }

    /** Returns whether an engine may prefill although the prefill engines are busy. */
    boolean isNearlyIdle(String upstreamId) {
        return PrefillRule.isNearlyIdle(
                engineSpeed(upstreamId).decodeEngineMillis(mPromptTokens),
                memoryShare(upstreamId),
                mContext.loads().prefillBacklogTokens(upstreamId),
                mMaxEventGap.toMillis());
    }

    /** Returns whether prefilling the prompt at an engine pauses its other streams too long. */
    boolean pausesTooLong(String upstreamId) {
        return PrefillRule.pausesTooLong(
                engineSpeed(upstreamId).decodeEngineMillis(mPromptTokens),
                usedMemoryTokens(upstreamId),
                mMaxEventGap.toMillis());
    }
}
