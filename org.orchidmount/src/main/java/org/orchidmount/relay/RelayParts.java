/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.RunNews;
import org.orchidmount.upstream.CancelSignal;

/**
 * What all requests share.
 *
 * @param book the upstreams
 * @param extras the attempts beyond the first
 * @param sizes the lengths of answers
 * @param entries how many instances share the limits
 * @param connections connections to upstreams
 * @param protocol what upstreams speak
 * @param clock the clock
 */
record RelayParts(
        UpstreamBook book,
        ExtraAttempts extras,
        AnswerSizes sizes,
        ReturningRequests returning,
        EngineLoads loads,
        RunNews news,
        IntSupplier entries,
        HttpConnections connections,
        UpstreamProtocol protocol,
        MonotonicClock clock) {
    private static final PartLog LOG = PartLog.of("engine");
    private static final Duration GIVE_BACK_TIMEOUT = Duration.ofMillis(500);
    private static final int MOST_BODY_BYTES = 64 * 1024;

    /** Notes that a call failed, unless that was because its caller had gone. */
    void failed(Lease lease, Failure failure, CancelSignal cancel) {
        LOG.debug(failure.describe());
        if (cancel.isCancelled()) {
            return;
        }
        if (failure.mayHaveRun()) {
            book.failed(lease);
        } else {
            book.unreachable(lease);
        }
    }

    /** Makes a call whose answer does not matter, on a thread of its own. */
    void giveBack(Peer peer, HttpHead head) {
        Thread.ofVirtual()
                .name("give-back")
                .start(
                        () -> {
                            try (HttpCall call = connections.call(peer, Step.CANCEL, head)) {
                                call.awaitResponse(GIVE_BACK_TIMEOUT);
                                call.readAll(GIVE_BACK_TIMEOUT, MOST_BODY_BYTES);
                            } catch (CallFailedException e) {
                                LOG.debug("not given back: %s", e.failure().describe());
                            }
                        });
    }
}
