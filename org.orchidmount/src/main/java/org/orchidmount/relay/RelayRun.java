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
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.relay.Handover.Part;
import org.orchidmount.relay.Handover.PromptSource;
import org.orchidmount.relay.RelayAnswer.Ending;
import org.orchidmount.routes.RequestKind;
import org.orchidmount.routes.Route;
import org.orchidmount.routes.Service;
import org.orchidmount.upstream.CancelSignal;

/**
 * The path of one request to upstreams and back.
 *
 * <p>Invariants: a request that may not be repeated is handed to another upstream only after each
 * one before has said that it has not run it, or was never reached; "not run" is told only if that
 * holds for all; what the caller has in part is continued only with what follows it. Retries happen
 * here and nowhere below. Used by one virtual thread.
 */
final class RelayRun {
    private static final PartLog LOG = PartLog.of("relay");
    private static final int MOST_TRIES = 4;
    private static final int MOST_HELD_BYTES = 4 * 1024 * 1024;
    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;
    private static final int REDIRECT = 300;
    private static final double PLAIN_MILLIS = 70;
    private static final double PLAIN_ZONE_MILLIS = 15;
    private static final double PATIENCE = 1.3;
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_SOON = Duration.ofMillis(200);
    private static final long RETRY_ENGINE_MILLIS = 3_000;
    private static final long RETRY_SPREAD_MILLIS = 1_600;

    private final RelayParts mParts;
    private final long mArrivedNanos;
    private final RelayRequest mRequest;
    private final Route mRoute;
    private final String mService;
    private final RelayAnswer mAnswer;
    private final CancelSignal mCancel;
    private final Optional<EnginePath> mEngines;
    private final Set<String> mTried = new HashSet<>();
    private int mTries;
    private int mArrivals;
    private int mRuns;
    private boolean mMayHaveRun;
    private boolean mLastWasFull;
    private HeldAnswer mHeld;
    private StreamForward mStream;
    private String mLastFailure = "no upstream takes work";

    /** A whole answer that is passed on unless another upstream does better. */
    private record HeldAnswer(int status, HeaderMap headers, byte[] body) {}

    /** How an attempt ended. */
    private enum Attempted {
        /** The caller has its answer, or has gone. */
        ENDED,
        /** The upstream was never reached. */
        NOT_REACHED,
        /** The upstream has not run the request. */
        NOT_RUN,
        /** The request may have run. */
        MAY_HAVE_RUN
    }

    RelayRun(
            RelayParts parts,
            RelayRequest request,
            Service service,
            RelayAnswer answer,
            CancelSignal cancel) {
        mParts = parts;
        mArrivedNanos = parts.clock().nanoTime();
        mRequest = request;
        mRoute = request.route();
        mService = service.name();
        mAnswer = answer;
        mCancel = cancel;
        mEngines =
                request.prompt()
                        .map(prompt -> new EnginePath(parts, request, prompt, service, cancel));
    }

    /** Serves the request to its end. */
    void run() throws IOException, TimeoutException, InterruptedException {
        mParts.extras().request(mService, mParts.clock().nanoTime());
        while (mayTry()) {
            Optional<EnginePath.Place> place = place();
            if (place.isEmpty()) {
                break;
            }
            mTries++;
            Lease lease = place.get().lease();
            Attempted attempted;
            try {
                attempted = attempt(place.get());
            } finally {
                mEngines.ifPresent(engines -> engines.leave(place.get()));
                mParts.book().release(lease);
            }
            if (attempted == Attempted.ENDED) {
                return;
            }
            mTried.add(lease.id());
            mLastWasFull = attempted == Attempted.NOT_RUN;
            if (attempted != Attempted.NOT_REACHED) {
                mArrivals++;
            }
            if (attempted == Attempted.MAY_HAVE_RUN) {
                mMayHaveRun = true;
                mRuns++;
            }
            if (mCancel.isCancelled()) {
                break;
            }
            LOG.debug(
                    "%s: try %d at %s: %s, %s",
                    mRequest.id(), mTries, lease.id(), attempted, mLastFailure);
        }
        mEngines.ifPresent(engines -> engines.reader().end());
        giveUp();
    }

    private boolean mayTry() {
        boolean allowed = !mMayHaveRun || mRoute.isIdempotent() && mRuns < mRoute.maxAttempts();
        if (mCancel.isCancelled() || !allowed || mTries >= MOST_TRIES || leftNanos() <= 0) {
            return false;
        }
        return mArrivals == 0
                || mParts.extras()
                        .take(mService, mParts.entries().getAsInt(), mParts.clock().nanoTime());
    }

    /** Ends a request that no upstream has answered to its end. */
    private void giveUp() throws IOException, TimeoutException, InterruptedException {
        if (mCancel.isCancelled()) {
            return;
        }
        if (mStream != null && mStream.isStarted()) {
            LOG.info("%s: cut after event %d: %s", mRequest.id(), mStream.last(), mLastFailure);
            mAnswer.cut();
        } else if (mHeld != null) {
            mAnswer.whole(mHeld.status(), mHeld.headers(), mHeld.body());
        } else {
            boolean late = leftNanos() <= 0;
            Ending ending = !mMayHaveRun ? Ending.NOT_RUN : late ? Ending.LATE : Ending.FAILED;
            LOG.info("%s: %s after %d tries: %s", mRequest.id(), ending, mTries, mLastFailure);
            mAnswer.refuse(ending, retryAfter());
        }
    }

    /** Engines that are full have room again once some of their long answers have ended. */
    private Duration retryAfter() {
        if (mEngines.isEmpty()) {
            return RETRY_SOON;
        }
        return Duration.ofMillis(
                RETRY_ENGINE_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_SPREAD_MILLIS));
    }

    private long leftNanos() {
        return mRequest.endNanos() - mParts.clock().nanoTime();
    }

    /** Finds a place at an upstream, with its memory reserved where that is needed. */
    private Optional<EnginePath.Place> place() throws InterruptedException {
        if (mEngines.isPresent()) {
            return mEngines.get().place(mTried);
        }
        UpstreamBook.Need need =
                new UpstreamBook.Need(
                        mService,
                        Stage.NONE,
                        PLAIN_MILLIS,
                        PLAIN_ZONE_MILLIS,
                        !mLastWasFull,
                        Set.of(),
                        UpstreamBook.Queue.OWN);
        return mParts.book().lease(need, mTried).map(EnginePath.Place::ofPlainService);
    }

    // ---- one attempt

    private Attempted attempt(EnginePath.Place place)
            throws IOException, TimeoutException, InterruptedException {
        Optional<PromptSource> source = mEngines.flatMap(engines -> engines.prefill(place));
        Attempted attempted = call(place, source);
        if (attempted != Attempted.NOT_RUN && attempted != Attempted.NOT_REACHED) {
            mEngines.ifPresent(engines -> engines.reader().taken());
        } else {
            mEngines.ifPresent(engines -> engines.giveBack(place));
        }
        return attempted;
    }

    private Attempted call(EnginePath.Place place, Optional<PromptSource> source)
            throws IOException, TimeoutException, InterruptedException {
        Lease lease = place.lease();
        long afterEvent = mStream == null ? 0 : mStream.last();
        Handover handover =
                new Handover(
                        lease.id(),
                        Duration.ofNanos(Math.max(1, leftNanos())),
                        Part.ANSWER,
                        source,
                        place.reservation(),
                        afterEvent);
        try (HttpCall call = open(lease, mParts.protocol().head(mRequest, handover));
                CancelSignal.Registration _ = mCancel.onCancel(call::abort)) {
            ClientResponse response = call.awaitResponse(patience());
            call.limitIdle(Duration.ofMillis(mParts.protocol().idleMillis(response)));
            return switch (mParts.protocol().judge(mRequest, response)) {
                case NOT_RUN -> {
                    mParts.book().full(lease);
                    mLastFailure = "status " + response.getResponseCode() + ", not run";
                    drain(call);
                    yield Attempted.NOT_RUN;
                }
                case MISDIRECTED -> {
                    mParts.book().misdirected(lease);
                    mLastFailure = "another upstream has the address";
                    yield Attempted.NOT_RUN;
                }
                case FOREIGN -> {
                    mParts.book().failed(lease);
                    mLastFailure = "the answer of another request";
                    call.abort();
                    yield Attempted.MAY_HAVE_RUN;
                }
                case ANSWER -> answer(place, call, response);
            };
        } catch (CallFailedException e) {
            return failed(lease, e.failure());
        }
    }

    private HttpCall open(Lease lease, HttpHead head) throws CallFailedException {
        return mRequest.body().length == 0
                ? mParts.connections().call(lease.peer(), Step.FORWARD, head)
                : mParts.connections()
                        .call(
                                lease.peer(),
                                Step.FORWARD,
                                head,
                                mRequest.body(),
                                Duration.ofNanos(Math.max(1, leftNanos())));
    }

    /** How long an upstream may stay silent: less than all if another may take the request. */
    private Duration patience() {
        Duration left = Duration.ofNanos(Math.max(1, leftNanos()));
        boolean another = mRoute.isIdempotent() && mRuns + 1 < mRoute.maxAttempts();
        if (!another) {
            return left;
        }
        Duration patience = Duration.ofNanos((long) (PATIENCE * mRoute.target().toNanos()));
        return patience.compareTo(left) < 0 ? patience : left;
    }

    private void drain(HttpCall call) {
        try {
            call.readAll(BODY_TIMEOUT, MOST_HELD_BYTES);
        } catch (CallFailedException e) {
            LOG.debug("%s: %s", mRequest.id(), e.failure().describe());
        }
    }

    private Attempted failed(Lease lease, Failure failure) {
        mLastFailure = failure.describe();
        if (mCancel.isCancelled()) {
            return Attempted.MAY_HAVE_RUN;
        }
        if (!failure.mayHaveRun()) {
            mParts.book().unreachable(lease);
            return Attempted.NOT_REACHED;
        }
        mParts.book().failed(lease);
        return Attempted.MAY_HAVE_RUN;
    }

    private Attempted answer(EnginePath.Place place, HttpCall call, ClientResponse response)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        Lease lease = place.lease();
        int status = response.getResponseCode();
        boolean success = status >= SUCCESS && status < REDIRECT;
        HeaderMap headers = mParts.protocol().answerHeaders(response);
        if (mRoute.kind() == RequestKind.STREAM && success) {
            return stream(place, call, status, headers);
        }
        byte[] body = call.readAll(bodyTimeout(), MOST_HELD_BYTES);
        if (status >= SERVER_ERROR) {
            mParts.book().failed(lease);
            mLastFailure = "status " + status;
            mHeld = new HeldAnswer(status, headers, body);
            return Attempted.MAY_HAVE_RUN;
        }
        mParts.book().succeeded(lease);
        if (mStream != null && mStream.isStarted()) {
            mLastFailure = "status " + status + " for the rest of a stream";
            return Attempted.MAY_HAVE_RUN;
        }
        mAnswer.whole(status, headers, body);
        return Attempted.ENDED;
    }

    private Duration bodyTimeout() {
        return Duration.ofNanos(Math.max(1, leftNanos()));
    }

    private Attempted stream(EnginePath.Place place, HttpCall call, int status, HeaderMap headers)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        if (mStream == null) {
            mStream = new StreamForward(mAnswer, status, headers);
        }
        Lease lease = place.lease();
        mStream.upstreamBegins();
        long before = mStream.last();
        StreamTiming timing = new StreamTiming(mParts.clock(), mArrivedNanos);
        for (byte[] part = call.read(bodyTimeout());
                part != null;
                part = call.read(bodyTimeout())) {
            boolean first = timing.part();
            mStream.part(part);
            long made = mStream.last() - before;
            mEngines.ifPresent(engines -> engines.work().made(made));
            if (first) {
                mParts.book().answered(lease);
                mEngines.ifPresent(engines -> engines.began(place));
                mParts.book().succeeded(lease);
            }
        }
        if (!mStream.isBetweenEvents()) {
            mParts.book().failed(lease);
            mLastFailure = "the stream ended within an event";
            return Attempted.MAY_HAVE_RUN;
        }
        mStream.end();
        long events = mStream.last() - before;
        mEngines.ifPresent(engines -> engines.work().streamed(events, timing));
        LOG.debug(
                "%s: first after %d ms, longest pause %d ms, %d events from %s in %.0f ms, prompt"
                        + " %s",
                mRequest.id(),
                timing.firstMillis(),
                timing.mostPauseMillis(),
                mStream.last(),
                lease.id(),
                timing.lastedMillis(),
                mRequest.prompt());
        return Attempted.ENDED;
    }
}
