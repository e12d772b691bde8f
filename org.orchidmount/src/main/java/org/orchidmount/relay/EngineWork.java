/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.load.EngineRun;
import org.orchidmount.routes.Service;

/**
 * Tells all instances what engines work on for one request.
 *
 * <p>Invariant: each placement has an identity of its own, so that late news of one is not taken
 * for news of the next. Used by one virtual thread; the count of tokens is read by another.
 */
final class EngineWork {
    /** A shorter stream does not tell how fast its engine is. */
    private static final int FEWEST_EVENTS = 8;

    private final RelayParts mParts;
    private final int mEventTokens;
    private final AtomicInteger mMadeTokens = new AtomicInteger();
    private int mPlacements;

    EngineWork(RelayParts parts, Service service) {
        mParts = parts;
        mEventTokens = service.engine().map(Service.Engine::eventTokens).orElse(1);
    }

    /** Tells that an engine works on something from now on; returns what was told. */
    EngineRun begin(EngineRun unplaced, Lease lease) {
        mMadeTokens.set(0);
        EngineRun run = unplaced.at(lease.id(), ++mPlacements);
        mParts.loads().apply(run);
        mParts.news().begin(run, mMadeTokens::get);
        return run;
    }

    /** Tells that an engine no longer works on it. */
    void end(EngineRun run) {
        mParts.loads().apply(run.end());
        mParts.news().end(run.end());
    }

    /** Notes how far the answer has come at its engine. */
    void made(long events) {
        mMadeTokens.set((int) (events * mEventTokens));
    }

    /** Notes how fast a whole stream was made. */
    void streamed(long events, StreamTiming timing) {
        double millis = timing.lastedMillis();
        if (events >= FEWEST_EVENTS && millis > 0) {
            mParts.loads().observeSpeed((events - 1) * mEventTokens / millis);
        }
    }
}
