/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.time.Duration;
import java.util.List;
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
 * Makes engines drop requests that are of no further use, and does not rest until they confirm.
 *
 * <p>A cancel can overtake the request it is meant for, when the request's connection was broken
 * off in mid-air. So an engine that does not know the request is asked again a little later.
 * Thread-safe.
 */
final class EngineCleaner implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("cleaner");
    private static final List<Duration> PAUSES =
            List.of(
                    Duration.ofMillis(100),
                    Duration.ofMillis(300),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(10));

    /** How often "unknown request" must be heard before it is believed. */
    private static final int UNKNOWN_TO_BELIEVE = 3;

    private final EngineClient mEngines;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();

    EngineCleaner(EngineClient engines) {
        mEngines = engines;
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
        for (Duration pause : PAUSES) {
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
