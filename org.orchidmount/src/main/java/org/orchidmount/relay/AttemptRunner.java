/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.BodyMemory;
import org.orchidmount.internal.http.BodyTooLargeException;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.NoBodyMemoryException;
import org.orchidmount.internal.http.ResponseReader;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.quarantine.PartHistory;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.relay.UpstreamCall.Phase;
import org.orchidmount.routes.RequestKind;
import org.orchidmount.routes.Route;
import org.orchidmount.routing.AttemptOutcome;
import org.orchidmount.routing.AttemptRule;
import org.orchidmount.upstream.CancelSignal;

/**
 * Executes the attempts of one request: calls an upstream, forwards its response to the caller, and
 * reports the outcome. {@link RequestRelay} decides whether to try again.
 *
 * <p>Invariants: the caller receives only complete responses, or complete events with increasing
 * ids; a stream that the caller has received in part is continued only with the events that follow;
 * resources reserved at an upstream are used only at the incarnation that granted them. Confined to
 * one virtual thread.
 */
final class AttemptRunner implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("relay");

    /** Maximum size of a response that is not streamed; larger responses fail. */
    private static final int MAX_RESPONSE_BYTES = Relay.MAX_RESPONSE_BYTES;

    private static final String OVERSIZED_EVENT =
            "an event of the upstream exceeds the size limit of 1 MiB";

    /**
     * Time allowed to drain the body of an unused response, so that its connection can be reused.
     */
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(2);

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Route mRoute;
    private final CallerResponse mCaller;
    private final CancelSignal mCancel;
    private final RequestProgress mProgress;
    private final Optional<SequenceTracker> mTracker;
    private final CrashReporter mCrashReporter;
    private final StreamBinding mBinding;
    private final long mArrivedNanos;
    private Optional<StreamForward> mStream = Optional.empty();
    private Optional<FallbackResponse> mFallback = Optional.empty();
    private final List<BodyMemory.Lease> mLeases = new ArrayList<>();
    private Optional<StreamTiming> mTiming = Optional.empty();
    private long mFirstResponseNanos;
    private boolean mHasResponse;
    private Optional<String> mThrough = Optional.empty();

    /**
     * Id of the last event that the caller had received when the latest attempt began; 0 for none.
     */
    private long mStartEventId;

    private String mLastFailure = "no upstream is available";

    /**
     * A complete error response that is forwarded to the caller if no later attempt succeeds.
     *
     * @param status the HTTP status
     * @param headers the header fields to forward
     * @param body the complete body
     */
    record FallbackResponse(int status, HeaderMap headers, byte[] body) {}

    AttemptRunner(
            RelayContext context,
            RelayRequest request,
            CallerResponse caller,
            CancelSignal cancel,
            RequestProgress progress,
            Optional<SequenceTracker> tracker,
            CrashReporter crashReporter,
            StreamBinding binding) {
        mContext = context;
        mRequest = request;
        mRoute = request.route();
        mCaller = caller;
        mCancel = cancel;
        mProgress = progress;
        mTracker = tracker;
        mCrashReporter = crashReporter;
        mBinding = binding;
        mArrivedNanos = context.clock().nanoTime();
    }

    /** Returns the reason why the latest attempt failed, for the log. */
    String lastFailure() {
        return mLastFailure;
    }

    /** Returns the instance through which the latest attempt was made; empty if it was direct. */
    Optional<String> through() {
        return mThrough;
    }

    /** Returns whether the upstream of the latest attempt has sent a response head. */
    boolean hasResponse() {
        return mHasResponse;
    }

    /**
     * Returns the time from the arrival of the request to the first part of a response; empty if
     * none has come.
     */
    Optional<Duration> firstResponse() {
        return mFirstResponseNanos == 0
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(mFirstResponseNanos - mArrivedNanos));
    }

    /**
     * Returns the longest gap between two parts of the latest stream; zero if there was no stream.
     */
    Duration longestPause() {
        return mTiming.map(timing -> Duration.ofMillis(timing.longestPauseMillis()))
                .orElse(Duration.ZERO);
    }

    private void recordFirstResponse() {
        if (mFirstResponseNanos == 0) {
            mFirstResponseNanos = mContext.clock().nanoTime();
        }
    }

    /** Returns the error response to forward if no attempt succeeds. */
    Optional<FallbackResponse> fallback() {
        return mFallback;
    }

    /** Returns the stream of which the caller has received a part, if any. */
    Optional<StreamForward> startedStream() {
        return mStream.filter(StreamForward::isStarted);
    }

    /**
     * Makes one attempt at an upstream.
     *
     * @param placement the upstream and what is reserved there
     * @param cache the location of the prompt's KV cache, if another engine prefilled it
     * @param history the previous attempts
     * @return the outcome
     * @throws IOException if the caller has disconnected
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    AttemptOutcome run(Placement placement, Optional<KvCacheRef> cache, AttemptRule.History history)
            throws IOException, TimeoutException, InterruptedException {
        mHasResponse = false;
        mThrough = Optional.empty();
        mStartEventId = lastEventId();
        Assignment assignment = placement.assignment();
        Optional<String> obstacle = mContext.upstreams().obstacle(assignment);
        if (obstacle.isPresent()) {
            mLastFailure = obstacle.get();
            return AttemptOutcome.NOT_REACHED;
        }
        if (mContext.throttle().isPaused(assignment.incarnation())) {
            mLastFailure = "the upstream has asked for a pause since it was chosen";
            return AttemptOutcome.NOT_REACHED;
        }
        UpstreamCall upstreamCall =
                new UpstreamCall(
                        assignment.id(),
                        timeLeft(),
                        Phase.COMPLETE,
                        cache,
                        placement.reservation(),
                        mStartEventId);
        HttpHead head = mContext.protocol().head(mRequest, upstreamCall);
        mProgress.startWaiting(Activity.SENDING, assignment.id());
        long sentNanos = mContext.clock().nanoTime();
        try (CallCancel cancel = new CallCancel(mCancel, assignment);
                HttpCall call = open(assignment, head, cancel.signal())) {
            mProgress.startWaiting(Activity.RESPONSE, assignment.id());
            mThrough = call.through();
            if (AttemptRule.mayRepeat(history, mRoute.attemptLimits())) {
                call.abortIfPathIsLost();
            }
            Duration responseTimeout =
                    AttemptRule.responseTimeout(
                            history, mRoute.attemptLimits(), mRoute.targetLatency(), timeLeft());
            ClientResponse response = call.awaitResponse(responseTimeout);
            mHasResponse = true;
            call.limitIdle(mContext.protocol().idleTimeout(response));
            mProgress.startWaiting(Activity.BODY, assignment.id());
            return onResponseHead(placement, call, response, sentNanos);
        } catch (CallFailedException e) {
            return failed(assignment, e.failure());
        }
    }

    private HttpCall open(Assignment assignment, HttpHead head, CancelSignal cancel)
            throws CallFailedException {
        HttpConnections connections = mContext.connections();
        byte[] body = mRequest.body();
        return body.length == 0
                ? connections.call(assignment.peer(), Step.FORWARD, head, cancel)
                : connections.call(assignment.peer(), Step.FORWARD, head, body, timeLeft(), cancel);
    }

    private Duration timeLeft() {
        return mRequest.timeLeft(mContext.clock().nanoTime());
    }

    private AttemptOutcome onResponseHead(
            Placement placement, HttpCall call, ClientResponse response, long sentNanos)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        Assignment assignment = placement.assignment();
        return switch (mContext.protocol().classify(mRequest, response)) {
            case NOT_RUN -> {
                mContext.responded(assignment, response, sentNanos);
                if (placement.reservation().isPresent()) {
                    mContext.refusedDespiteReservation(assignment);
                } else {
                    mContext.refused(assignment);
                }
                mLastFailure = "status " + response.getResponseCode() + ", request not run";
                discard(call);
                yield AttemptOutcome.NOT_RUN;
            }
            case MISDIRECTED -> {
                mContext.upstreams().misdirected(assignment);
                mLastFailure = "another upstream answered at the address";
                yield AttemptOutcome.NOT_RUN;
            }
            case FOREIGN -> {
                // The response is of no use for this request, but what it states about its upstream
                // is valid.
                if (mContext.protocol().isResponseTo(mRequest, response)) {
                    mContext.respondedToCall(assignment, response, sentNanos);
                }
                mContext.upstreams().failed(assignment);
                mLastFailure = "the response belongs to another request";
                call.abort();
                yield AttemptOutcome.MAY_HAVE_RUN;
            }
            case RESPONSE -> {
                mContext.responded(assignment, response, sentNanos);
                yield onResponse(placement, call, response);
            }
        };
    }

    private void discard(HttpCall call) {
        try {
            call.discard(DISCARD_TIMEOUT, MAX_RESPONSE_BYTES);
        } catch (CallFailedException e) {
            LOG.debug("%s: %s", mRequest.id(), e.failure().describe());
        }
    }

    private AttemptOutcome failed(Assignment assignment, Failure failure) {
        mLastFailure = failure.describe();
        mContext.callFailed(assignment, failure, mCancel);
        mCrashReporter.failed(assignment, failure, mStartEventId, lastEventId());
        return failure.mayHaveRun() ? AttemptOutcome.MAY_HAVE_RUN : AttemptOutcome.NOT_REACHED;
    }

    /** Returns the id of the last event forwarded to the caller; 0 for none. */
    private long lastEventId() {
        return mStream.map(StreamForward::lastEventId).orElse(0L);
    }

    private AttemptOutcome onResponse(Placement placement, HttpCall call, ClientResponse response)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        int status = response.getResponseCode();
        HeaderMap headers = mContext.protocol().responseHeaders(response);
        if (mRoute.kind() == RequestKind.STREAM && HttpStatus.isSuccess(status)) {
            return onStream(placement, call, status, headers);
        }
        byte[] body;
        try {
            body = ResponseReader.read(call, response, timeLeft(), MAX_RESPONSE_BYTES, openLease());
        } catch (NoBodyMemoryException | BodyTooLargeException e) {
            // The upstream is not to blame.
            mLastFailure = e.getMessage();
            return AttemptOutcome.MAY_HAVE_RUN;
        }
        if (HttpStatus.isServerError(status)) {
            mContext.upstreams().failed(placement.assignment());
            mLastFailure = "status " + status;
            mFallback = Optional.of(new FallbackResponse(status, headers, body));
            return AttemptOutcome.MAY_HAVE_RUN;
        }
        mCrashReporter.survived();
        mContext.upstreams().succeeded(placement.assignment());
        if (startedStream().isPresent()) {
            mLastFailure = "status " + status + " instead of the rest of the stream";
            return AttemptOutcome.MAY_HAVE_RUN;
        }
        recordFirstResponse();
        mCaller.sendComplete(status, headers, body);
        return AttemptOutcome.ENDED;
    }

    private BodyMemory.Lease openLease() {
        BodyMemory.Lease lease = mContext.connections().bodyMemory().openResponse();
        mLeases.add(lease);
        return lease;
    }

    /** Returns the memory of the responses that were read whole. */
    @Override
    public void close() {
        mLeases.forEach(BodyMemory.Lease::close);
    }

    private AttemptOutcome onStream(
            Placement placement, HttpCall call, int status, HeaderMap headers)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        StreamForward stream = mStream.orElseGet(() -> new StreamForward(mCaller));
        mStream = Optional.of(stream);
        stream.beginUpstream(
                status,
                headers,
                () -> mBinding.bindToFirstEvent(placement.assignment().registration()));
        long before = stream.lastEventId();
        StreamTiming timing = forward(placement, call, stream);
        if (!stream.isAtEventBoundary()) {
            mContext.upstreams().failed(placement.assignment());
            mLastFailure = "the stream ended with an incomplete event";
            return AttemptOutcome.MAY_HAVE_RUN;
        }
        mCrashReporter.survived();
        stream.end();
        mTracker.ifPresent(tracker -> tracker.observe(stream.lastEventId() - before, timing));
        mTracker.ifPresent(tracker -> tracker.observeLength(stream.lastEventId()));
        logStream(placement, stream, timing);
        return AttemptOutcome.ENDED;
    }

    /** Forwards a stream until its upstream ends it. */
    private StreamTiming forward(Placement placement, HttpCall call, StreamForward stream)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        Assignment assignment = placement.assignment();
        long before = stream.lastEventId();
        StreamTiming timing = new StreamTiming(mContext.clock(), mArrivedNanos);
        mTiming = Optional.of(timing);
        boolean isProven = false;
        for (byte[] part = call.read(timeLeft()); part != null; part = call.read(timeLeft())) {
            boolean first = timing.recordPart();
            recordFirstResponse();
            stream.part(part);
            if (stream.isOversized()) {
                // The fault is the upstream's: the caller is still there and gets a status.
                throw new CallFailedException(
                        new Failure.Garbled(Step.FORWARD, assignment.id(), OVERSIZED_EVENT));
            }
            if (!isProven && timing.isLongerThan(PartHistory.PROVEN_AFTER)) {
                isProven = true;
                mCrashReporter.partsSurvived();
            }
            mTracker.ifPresent(tracker -> tracker.generated(stream.lastEventId() - before, timing));
            if (first) {
                mContext.upstreams().release(assignment);
                mTracker.ifPresent(tracker -> tracker.observeFirst(placement));
                mTracker.ifPresent(tracker -> tracker.endPrefill(placement));
                mContext.upstreams().succeeded(assignment);
            }
        }
        return timing;
    }

    private void logStream(Placement placement, StreamForward stream, StreamTiming timing) {
        LOG.debug(
                "%s: first part after %d ms, longest pause %d ms, %d events from %s in %.0f ms,"
                        + " prompt %s",
                mRequest.id(),
                timing.firstMillis(),
                timing.longestPauseMillis(),
                stream.lastEventId(),
                placement.assignment().id(),
                timing.durationMillis(),
                mRequest.prompt());
    }
}
