/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.HashSet;
import java.util.Set;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.MemoryForecast;
import org.orchidmount.routing.MemoryRule;
import org.orchidmount.routing.UrgentArrivals;
import org.orchidmount.routing.UrgentReserve;

/**
 * How much of an engine's memory one request may fill.
 *
 * <p>Applies {@link MemoryRule} and {@link UrgentReserve}. Invariant: without a rank of urgency,
 * only {@code MemoryRule} applies and nothing is recorded. Confined to one virtual thread.
 */
final class AvailableMemory {
    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Service mService;
    private final InFlightSequence mOutput;
    private final boolean mIsClientRetry;
    private boolean mIsHeldBack;

    /** Creates the rule for a request, and records the request's arrival if it has a rank. */
    AvailableMemory(
            RelayContext context,
            RelayRequest request,
            Service service,
            InFlightSequence output,
            boolean isClientRetry) {
        mContext = context;
        mRequest = request;
        mService = service;
        mOutput = output;
        mIsClientRetry = isClientRetry;
        request.urgency()
                .ifPresent(
                        rank ->
                                arrivals()
                                        .arrived(
                                                service.name(),
                                                rank,
                                                (long) output.promptTokens()
                                                        + output.expectedTokens()));
    }

    private UrgentArrivals arrivals() {
        return mContext.urgentArrivals();
    }

    private MemoryForecast.Sequence initialForecast() {
        return mOutput.forecastInput(0);
    }

    /** Returns whether the caller was refused before. */
    boolean isClientRetry() {
        return mIsClientRetry;
    }

    /** Returns whether the request fits into an empty engine of its service. */
    boolean canEverFit() {
        return mService.engine()
                .map(engine -> MemoryRule.canEverFit(initialForecast(), engine.kvCacheTokens()))
                .orElse(true);
    }

    /** Returns how many tokens of an engine may be in use once the request is placed there. */
    long tokens(long memoryTokens) {
        return UrgentReserve.availableTokens(
                initialForecast(),
                tokensWithoutReserve(memoryTokens),
                reserveTokens(memoryTokens),
                memoryTokens);
    }

    private long tokensWithoutReserve(long memoryTokens) {
        return MemoryRule.availableTokens(initialForecast(), mIsClientRetry, memoryTokens);
    }

    private long reserveTokens(long memoryTokens) {
        if (mRequest.urgency().isEmpty()) {
            return 0;
        }
        int rank = mRequest.urgency().getAsInt();
        if (UrgentReserve.isExempt(arrivals().heldBackInARow(mService.name(), rank))) {
            return 0;
        }
        EngineSpeed speed = speed();
        return UrgentReserve.tokens(
                arrivals().moreUrgent(mService.name(), rank),
                mContext.upstreams().available(mService.name(), Stage.DECODE).size(),
                speed.firstTokenMillis() + speed.outputMillis(),
                memoryTokens);
    }

    private EngineSpeed speed() {
        return mContext.speedEstimator(mService.name()).speed();
    }

    /** Records that the request has found a placement. */
    void placed() {
        mIsHeldBack = false;
        mRequest.urgency().ifPresent(rank -> arrivals().placed(mService.name(), rank));
    }

    /**
     * Records that the request has found no placement; must be called before the sequences at the
     * engines change.
     */
    void notPlaced() {
        mIsHeldBack = false;
        if (mService.engine().isEmpty()) {
            return;
        }
        long memoryTokens = mService.engine().get().kvCacheTokens();
        long tokens = tokens(memoryTokens);
        long withoutReserve = tokensWithoutReserve(memoryTokens);
        if (tokens < withoutReserve) {
            arrivals().heldBack(mService.name(), mRequest.urgency().orElseThrow());
            mIsHeldBack = areAllSaturated(tokens) && !areAllSaturated(withoutReserve);
        }
    }

    /**
     * Returns whether the last search found no engine only because of the memory that is reserved
     * for more urgent requests.
     */
    boolean isHeldBack() {
        return mIsHeldBack;
    }

    /** Returns whether all engines that accept work are saturated. */
    private boolean areAllSaturated(long tokens) {
        Set<String> engines = new HashSet<>();
        for (Incarnation engine : mContext.upstreams().available(mService.name(), Stage.DECODE)) {
            engines.add(engine.id());
        }
        engines.removeAll(mContext.upstreams().avoided(mService.name(), Stage.DECODE));
        engines.removeAll(mContext.throttle().throttledUpstreams());
        return mContext.loads().saturatedEngines(mOutput, tokens, speed()).containsAll(engines);
    }
}
