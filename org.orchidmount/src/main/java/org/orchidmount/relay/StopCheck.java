/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.orchidmount.relay.ServingTerms.PlannedStop;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.OutputForecast;
import org.orchidmount.routing.RequestDurations;
import org.orchidmount.routing.StopRule;

/**
 * Applies {@link StopRule} to one request, before it is placed and again before it is sent.
 *
 * <p>Invariant: what this instance has not measured is never refused. Confined to one virtual
 * thread.
 */
final class StopCheck {
    private static final double PERCENT = 100;

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Service mService;
    private final ServingTerms mTerms;
    private final RequestDurations mDurations;
    private final RequestDurations.Kind mKind;
    private Optional<Duration> mRetryAfter = Optional.empty();
    private String mReason = "";

    StopCheck(
            RelayContext context,
            RelayRequest request,
            Service service,
            ServingTerms terms,
            RequestDurations durations) {
        mDurations = durations;
        mKind = new RequestDurations.Kind(service.name(), request.route().name());
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
        if (stop.isEmpty()) {
            return true;
        }
        if (engines.isEmpty()) {
            return mayBeginPlain(stop.get());
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

    /** Returns whether a request is begun whose length nobody states. */
    private boolean mayBeginPlain(PlannedStop stop) {
        OptionalDouble probability = mDurations.probabilityBeyond(mKind, stop.untilCut());
        boolean mayBegin = StopRule.mayBegin(probability);
        if (!mayBegin) {
            mRetryAfter = Optional.of(stop.retryAfter());
            mReason =
                    "%.0f %% took longer than %d ms until the cut"
                            .formatted(
                                    PERCENT * probability.orElseThrow(),
                                    stop.untilCut().toMillis());
        }
        return mayBegin;
    }

    /** Records a request that has ended, unless its duration depends on the length of an output. */
    void ended(Optional<EnginePlacer> engines, long sentNanos) {
        if (engines.isEmpty()) {
            long tookNanos = mContext.clock().nanoTime() - sentNanos;
            mDurations.observe(mKind, Duration.ofNanos(tookNanos));
        }
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
