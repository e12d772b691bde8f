/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;
import org.orchidmount.relay.ServingTerms.PlannedStop;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.OutputForecast;
import org.orchidmount.routing.StopRule;

/**
 * Applies {@link StopRule} to one request, before it is placed and again before it is sent.
 *
 * <p>Invariant: a request without a prompt is never refused, since its duration is not estimated.
 * Confined to one virtual thread.
 */
final class StopCheck {
    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Service mService;
    private final ServingTerms mTerms;
    private Optional<Duration> mRetryAfter = Optional.empty();
    private String mReason = "";

    StopCheck(RelayContext context, RelayRequest request, Service service, ServingTerms terms) {
        mContext = context;
        mRequest = request;
        mService = service;
        mTerms = terms;
    }

    /** Returns whether a request that has no placement yet is likely enough to end in time. */
    boolean mayBegin(Optional<EnginePlacer> engines) {
        Optional<EngineSpeed> speed = mContext.speedEstimator(mService.name()).measuredSpeed();
        double waitMillis = speed.map(EngineSpeed::firstTokenMillis).orElse(0.0);
        return mayBegin(engines, waitMillis, speed);
    }

    /**
     * Returns whether a request that is about to be sent to an engine is likely enough to end in
     * time.
     */
    boolean mayBeginAt(Optional<EnginePlacer> engines, Placement placement) {
        String engine = placement.assignment().id();
        Optional<EngineSpeed> speed =
                mContext.speedEstimator(mService.name())
                        .measuredSpeed()
                        .map(mean -> mean.slowedBy(mContext.evidence().slowness(engine)));
        int queuedTokens = placement.prefillQueueTokens();
        double waitMillis = speed.map(each -> each.decodeEngineMillis(queuedTokens)).orElse(0.0);
        return mayBegin(engines, waitMillis, speed);
    }

    private boolean mayBegin(
            Optional<EnginePlacer> engines, double waitMillis, Optional<EngineSpeed> speed) {
        Optional<PlannedStop> stop = mTerms.plannedStop();
        if (stop.isEmpty() || engines.isEmpty()) {
            return true;
        }
        long lastEventId = mRequest.prompt().map(RelayRequest.Prompt::lastEventId).orElse(0L);
        OutputForecast output = engines.get().tracker().forecast(lastEventId);
        Duration untilCut = stop.get().untilCut();
        boolean mayBegin = StopRule.mayBegin(untilCut, waitMillis, output, speed);
        if (!mayBegin) {
            mRetryAfter = Optional.of(stop.get().retryAfter());
            mReason =
                    "%.0f of at most %.0f tokens expected, %.2f tokens/ms, %d ms until the cut"
                            .formatted(
                                    output.expectedTokens(),
                                    output.maxTokens(),
                                    speed.map(EngineSpeed::outputTokensPerMilli).orElse(0.0),
                                    untilCut.toMillis());
        }
        return mayBegin;
    }

    /** Returns the time to retry if the request was refused because of a planned stop. */
    Optional<Duration> retryAfter() {
        return mRetryAfter;
    }

    /** Returns why the request was refused, for the log. */
    String reason() {
        return mReason;
    }
}
