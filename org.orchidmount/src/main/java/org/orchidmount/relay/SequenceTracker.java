/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.clock.Millis;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EnginePaceEstimator;

/**
 * Announces what engines work on for one request, and learns from it how fast they generate.
 *
 * <p>Invariant: each placement has an identity of its own, so that a late announcement of one is
 * not taken for the next. Used by one virtual thread; the count of tokens is read by another.
 */
final class SequenceTracker {
    /** Events below which a stream does not tell how fast its engine is. */
    private static final int MIN_EVENTS = 8;

    private final RelayContext mContext;
    private final EnginePaceEstimator mPace;
    private final int mEventTokens;
    private final AtomicInteger mGeneratedTokens = new AtomicInteger();
    private int mPlacements;

    SequenceTracker(RelayContext context, Service service) {
        mContext = context;
        mPace = context.enginePace(service.name());
        mEventTokens = service.engine().map(Service.Engine::eventTokens).orElse(1);
    }

    /** Announces that an engine works on a sequence from now on; returns it as announced. */
    InFlightSequence begin(InFlightSequence unplaced, Assignment assignment) {
        mGeneratedTokens.set(0);
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

    /** Announces that an engine works on nothing more of a placement. */
    void end(Placement placement) {
        placement.output().ifPresent(this::end);
        endPrefill(placement);
    }

    /** Announces that the prompt of a placement is prefilled, if its engine had to do that. */
    void endPrefill(Placement placement) {
        placement.prefill().ifPresent(this::end);
    }

    /** Notes how far the output has come at its engine. */
    void generated(long events) {
        mGeneratedTokens.set((int) (events * mEventTokens));
    }

    /** Learns from the first part of a stream how long its engine took to it. */
    void observeFirst(Placement placement) {
        long sinceNanos = placement.assignment().sinceNanos();
        double tookMillis = Millis.ofNanos(mContext.clock().nanoTime() - sinceNanos);
        mPace.observeFirstToken(tookMillis);
        if (placement.isUnsplit()) {
            mPace.observeDecodePrefill(placement.prefillQueueTokens(), tookMillis);
        }
    }

    /** Learns from a whole stream how fast its engine generates. */
    void observe(long events, StreamTiming timing) {
        if (events >= MIN_EVENTS) {
            mPace.observeOutput((events - 1) * mEventTokens, timing.durationMillis());
        }
    }
}
