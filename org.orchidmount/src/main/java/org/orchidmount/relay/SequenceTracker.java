/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.clock.Millis;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeedEstimator;
import org.orchidmount.routing.OutputForecast;
import org.orchidmount.routing.OutputLengthEstimator.StatedLength;

/**
 * Announces the sequences of one request that engines work on, and estimates the speed of the
 * engines from them.
 *
 * <p>Invariant: each placement has an id of its own, so that a late announcement of one is not
 * mistaken for the next. Confined to one virtual thread, except for the token count, which another
 * thread reads.
 */
final class SequenceTracker {
    /** Minimum number of events in a stream from which the speed of its engine is estimated. */
    private static final int MIN_EVENTS = 8;

    /** Minimum number of events of a stream under way; then looked at each time it has doubled. */
    private static final int MIN_EVENTS_UNDER_WAY = 4;

    private final RelayContext mContext;
    private final EngineSpeedEstimator mSpeedEstimator;
    private final StatedLength mStatedLength;
    private final int mEventTokens;
    private final AtomicInteger mGeneratedTokens = new AtomicInteger();
    private Optional<Incarnation> mOutputEngine = Optional.empty();
    private int mPlacements;
    private long mNextObservedEvents;

    SequenceTracker(RelayContext context, Service service, StatedLength statedLength) {
        mContext = context;
        mStatedLength = statedLength;
        mSpeedEstimator = context.speedEstimator(service.name());
        mEventTokens = service.engine().map(Service.Engine::tokensPerEvent).orElse(1);
    }

    /** Announces that an engine begins to work on a sequence; returns the sequence as announced. */
    InFlightSequence begin(InFlightSequence unplaced, Assignment assignment) {
        mGeneratedTokens.set(0);
        mNextObservedEvents = MIN_EVENTS_UNDER_WAY;
        InFlightSequence sequence = unplaced.placedAt(assignment.incarnation(), ++mPlacements);
        mContext.loads().update(sequence);
        mContext.announcer().begin(sequence, mGeneratedTokens::get);
        return sequence;
    }

    /** Announces that an engine no longer works on a sequence. */
    void end(InFlightSequence sequence) {
        InFlightSequence ended = sequence.asEnded();
        mContext.loads().update(ended);
        mContext.announcer().end(ended);
    }

    /** Announces that an engine no longer works on any sequence of a placement. */
    void end(Placement placement) {
        placement.output().ifPresent(this::end);
        endPrefill(placement);
    }

    /** Announces that the prefill of a placement has ended, if its own engine does it. */
    void endPrefill(Placement placement) {
        placement.prefill().ifPresent(this::end);
    }

    /** Returns the number of tokens in one event of a stream. */
    int eventTokens() {
        return mEventTokens;
    }

    /** Updates the number of tokens generated so far, and the speed of outputs under way. */
    void generated(long events, StreamTiming timing) {
        mGeneratedTokens.set((int) (events * mEventTokens));
        if (events >= mNextObservedEvents) {
            mNextObservedEvents = 2 * events;
            double tokens = (double) (events - 1) * mEventTokens;
            mSpeedEstimator.observeOutputUnderWay(tokens, timing.durationMillis());
        }
    }

    /** Records the length of an output that has ended, up to the id of its last event. */
    void observeLength(long lastEventId) {
        mContext.outputLengths().observeOutput(mStatedLength, tokens(lastEventId));
    }

    /** Returns what is known of the length of the output, of which the caller has some events. */
    OutputForecast forecast(long lastEventId) {
        return mContext.outputLengths().forecast(mStatedLength, tokens(lastEventId));
    }

    private int tokens(long events) {
        return (int) Math.min(Integer.MAX_VALUE, events * mEventTokens);
    }

    /**
     * Updates the estimated speed with the time that the engine took to the first part of a stream.
     */
    void observeFirst(Placement placement) {
        mOutputEngine = Optional.of(placement.assignment().incarnation());
        long assignedNanos = placement.assignment().assignedNanos();
        double tookMillis = Millis.ofNanos(mContext.clock().nanoTime() - assignedNanos);
        mSpeedEstimator.observeFirstToken(tookMillis);
        if (placement.isUnsplit()) {
            mSpeedEstimator.observeDecodePrefill(placement.prefillQueueTokens(), tookMillis);
        }
    }

    /** Updates the estimated speed with a complete stream, unless it is too short. */
    void observe(long events, StreamTiming timing) {
        if (events >= MIN_EVENTS) {
            double tokens = (events - 1) * mEventTokens;
            double nominalMillis = tokens / mSpeedEstimator.speed().outputTokensPerMilli();
            mOutputEngine.ifPresent(
                    engine ->
                            mContext.evidence()
                                    .measured(engine, timing.durationMillis(), nominalMillis));
            mSpeedEstimator.observeOutput(tokens, timing.durationMillis());
        }
    }
}
