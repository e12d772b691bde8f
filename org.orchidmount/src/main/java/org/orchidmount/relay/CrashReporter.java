/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import org.orchidmount.clock.Millis;
import org.orchidmount.errors.Failure;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.quarantine.CrashReports;
import org.orchidmount.quarantine.PromptParts;
import org.orchidmount.quarantine.RequestFingerprint;
import org.orchidmount.quarantine.RunGuard;
import org.orchidmount.routes.Service;
import org.orchidmount.upstream.CancelSignal;

/**
 * Guards the runs of one request at registered upstreams, and reports the request if an upstream
 * crashes while running it.
 *
 * <p>A crash is attributed to a request if the connection broke or the upstream stopped responding
 * while it ran the request, the upstream had not announced that it was leaving, and its process has
 * ended: nothing listens at its address any more, or another upstream has registered in its place.
 * A broken connection alone proves nothing. Confined to one virtual thread.
 */
final class CrashReporter implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("crash");

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final CancelSignal mCancel;
    private final CrashReports mReports;
    private final RunGuard mGuard;

    CrashReporter(
            RelayContext context, RelayRequest request, Service service, CancelSignal cancel) {
        mContext = context;
        mRequest = request;
        mCancel = cancel;
        mReports = context.crashReports();
        mGuard =
                new RunGuard(
                        mReports,
                        this::fingerprint,
                        request.prompt().isPresent()
                                ? RunGuard.SERIALIZE_PROMPTS_AFTER
                                : RunGuard.SERIALIZE_PLAIN_AFTER,
                        request.prompt().map(prompt -> parts(prompt, service)));
    }

    private PromptParts parts(RelayRequest.Prompt prompt, Service service) {
        return new PromptParts(
                mReports.parts(), mRequest.route().name(), service.name(), prompt.sharedParts());
    }

    private RequestFingerprint fingerprint() {
        return RequestFingerprint.of(
                mContext.protocol().caller(mRequest),
                mRequest.method().toString(),
                mRequest.route().host(),
                mRequest.pathAndQuery(),
                mRequest.body());
    }

    /** Returns whether the request is quarantined and must not run again. */
    boolean isQuarantined() {
        return mGuard.isQuarantined();
    }

    /**
     * Begins a run; returns false if the request must not run now, because it is quarantined or a
     * copy of it is running.
     */
    boolean tryBeginRun() {
        return mGuard.tryBeginRun();
    }

    /**
     * Records a failed call. A cancelled call was aborted by this instance; if the reason was that
     * the caller disconnected, a crash of the upstream that follows still counts.
     *
     * @param assignment the work that the call was for
     * @param failure how it failed
     * @param fromEventId the id of the last event that the caller had when the call began; 0 for
     *     none
     * @param toEventId the id of the last event that the caller has now; 0 for none
     */
    void failed(Assignment assignment, Failure failure, long fromEventId, long toEventId) {
        if (mCancel.reason() == CancelSignal.Reason.CALLER_GONE && failure.mayHaveRun()) {
            mGuard.abandoned(
                    assignment.peer(),
                    () -> mContext.upstreams().isLeaving(assignment),
                    fromEventId,
                    toEventId);
            return;
        }
        if (mCancel.isCancelled() || !CrashReports.mayBeCrash(failure)) {
            return;
        }
        if (failure instanceof Failure.Broken) {
            logConnectionBroken(assignment, failure, fromEventId, toEventId);
        }
        if (mContext.upstreams().isLeaving(assignment)) {
            return;
        }
        if (mContext.upstreams().hasEnded(assignment)) {
            mGuard.crashed(fromEventId, toEventId);
        } else {
            mGuard.failed(
                    failure, assignment.incarnation(), assignment.peer(), fromEventId, toEventId);
        }
    }

    private void logConnectionBroken(
            Assignment assignment, Failure failure, long fromEventId, long toEventId) {
        double elapsedMillis =
                Millis.ofNanos(mContext.clock().nanoTime() - assignment.assignedNanos());
        LOG.info(
                "%s: connection broken: %s; fingerprint %s, %.0f ms after placement, from event %d"
                        + " to %d, suspected parts %s, sequences in flight at the upstream: %s",
                mRequest.id(),
                failure.describe(),
                mGuard.fingerprint(),
                elapsedMillis,
                fromEventId,
                toEventId,
                mGuard.suspectedPartFingerprints(),
                mContext.loads().sequencesAt(assignment.id()));
    }

    /** Records that an upstream has run the request without crashing. */
    void survived() {
        mGuard.survived();
    }

    /** Records that an upstream has written an answer for so long that no part of it crashes. */
    void partsSurvived() {
        mGuard.partsSurvived();
    }

    /** Records that the request was refused because it is quarantined. */
    void refused() {
        LOG.info(
                "%s: refused: request fingerprint %s is quarantined",
                mRequest.id(), mGuard.fingerprint());
        mReports.refused();
    }

    @Override
    public void close() {
        mGuard.close();
    }
}
