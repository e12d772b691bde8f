/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.orchidmount.errors.Attempt;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.upstream.EngineClient;
import org.orchidmount.upstream.TokenStream;

/**
 * Makes engines drop requests that are of no further use, and goes on asking until they confirm,
 * for as long as an engine may be out of reach.
 *
 * <p>A cancel can overtake the request it is meant for, when the request's connection was broken
 * off in mid-air. So an engine that does not know the request is asked again a little later.
 * Thread-safe.
 */
final class EngineCleaner implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("cleaner");

    /** Tries to cancel a request at an engine; with pauses of 5 s some 10 minutes. */
    private static final int MAX_TRIES = 120;

    /** How often "unknown request" must be answered before it counts. */
    private static final int UNKNOWN_TO_BELIEVE = 3;

    private final EngineClient mEngines;
    private final Duration mFirstPause;
    private final Duration mLongestPause;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();

    /**
     * Creates a cleaner.
     *
     * @param engines cancels requests
     * @param firstPause the pause after the first try; each further one is twice as long
     * @param longestPause the longest pause
     */
    EngineCleaner(EngineClient engines, Duration firstPause, Duration longestPause) {
        mEngines = engines;
        mFirstPause = firstPause;
        mLongestPause = longestPause;
    }

    /** Cancels a request at an engine without making the caller wait. */
    void clean(Peer engine, String engineRequestId) {
        mThreads.execute(() -> cleanNow(engine, engineRequestId));
    }

    /**
     * Reads the end of a stream whose tokens have all come, so that its connection can serve again,
     * and cancels the request if that end does not come.
     */
    void finish(TokenStream stream, Peer engine, String engineRequestId) {
        mThreads.execute(
                () -> {
                    try (stream) {
                        if (stream.next() == null) {
                            return;
                        }
                        LOG.warn("engine %s goes on after the end", engine.name());
                    } catch (CallFailedException e) {
                        LOG.debug("%s: %s", engineRequestId, e.failure().describe());
                    }
                    cleanNow(engine, engineRequestId);
                });
    }

    private void cleanNow(Peer engine, String id) {
        int unknown = 0;
        Duration pause = mFirstPause;
        for (int i = 0; i < MAX_TRIES; i++) {
            if (mEngines.cancel(engine, id) instanceof Attempt.Done<Boolean>(Boolean known)) {
                unknown++;
                if (known || unknown >= UNKNOWN_TO_BELIEVE) {
                    return;
                }
            }
            try {
                Thread.sleep(pause);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            Duration doubled = pause.multipliedBy(2);
            pause = doubled.compareTo(mLongestPause) > 0 ? mLongestPause : doubled;
        }
        LOG.warn("engine %s does not confirm the cancel of %s", engine.name(), id);
    }

    /** Waits a while for cancels under way, then gives up. */
    @Override
    public void close() {
        mThreads.shutdown();
        try {
            if (!mThreads.awaitTermination(2, TimeUnit.SECONDS)) {
                mThreads.shutdownNow();
            }
        } catch (InterruptedException e) {
            mThreads.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
