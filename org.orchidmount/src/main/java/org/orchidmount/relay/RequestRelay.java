/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.pacing.SendPermit;
import org.orchidmount.relay.AttemptRunner.FallbackResponse;
import org.orchidmount.relay.EndClassifier.End;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.retry.ArrivalHistory;
import org.orchidmount.retry.RequestRetries;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.AttemptOutcome;
import org.orchidmount.routing.AttemptRule;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.FinalOutcome;
import org.orchidmount.routing.RequestDurations;
import org.orchidmount.routing.RetryAfter;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.upstream.CancelSignal;

/**
 * Relays one request to registered upstreams: chooses an upstream, makes an attempt, and then tries
 * again or gives up.
 *
 * <p>Applies {@link AttemptRule}, {@link FinalOutcome} and {@link RetryAfter}. Invariants: a
 * request that must not run twice is sent to another upstream only after each previous one has
 * stated that it has not run it, or was never reached; the caller is told "not run" only if that
 * holds for all; a quarantined request is sent to no upstream, whatever its attempts are; what
 * counts as a retry is sent only with a permit of {@link RequestRetries}. Retries on this path are
 * made here and in no layer below. Confined to one virtual thread.
 */
final class RequestRelay {
    private static final PartLog LOG = PartLog.of("relay");

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Service mService;
    private final RequestRetries mRetries;
    private final CallerResponse mCaller;
    private final CancelSignal mCancel;
    private final ServingTerms mTerms;
    private final StopCheck mStopCheck;
    private final RequestProgress mProgress;
    private final Optional<EnginePlacer> mEngines;
    private final AttemptRunner mAttempts;
    private final CrashReporter mCrashReporter;
    private final StreamBinding mBinding;
    private final Set<Incarnation> mTried = new HashSet<>();
    private AttemptRule.History mHistory = AttemptRule.History.NONE;
    private boolean mLastRefused;

    /**
     * Whether no placement was found because every upstream is at its stated limit or has asked for
     * a pause.
     */
    private boolean mIsThrottled;

    private final RequestReporter mReporter;

    RequestRelay(
            RelayContext context,
            RelayRequest request,
            Service service,
            CallerResponse caller,
            CancelSignal cancel,
            ServingTerms terms,
            RequestDurations durations) {
        mContext = context;
        mRequest = request;
        mService = service;
        mRetries = new RequestRetries(context.retries().of(service.name()), context.clock());
        mCaller = caller;
        mCancel = cancel;
        mTerms = terms;
        mStopCheck = new StopCheck(context, request, service, terms, durations);
        mProgress = new RequestProgress(context.clock(), request.id());
        mCrashReporter = new CrashReporter(context, request, service, cancel);
        mBinding =
                new StreamBinding(
                        context.origins(),
                        request,
                        service,
                        () -> context.upstreams().onlyVersion(service.name(), stage()),
                        context.clock());
        boolean isClientRetry = isClientRetry();
        mEngines =
                request.prompt()
                        .map(
                                prompt ->
                                        new EnginePlacer(
                                                context,
                                                request,
                                                prompt,
                                                service,
                                                isClientRetry,
                                                cancel,
                                                mProgress,
                                                mCrashReporter,
                                                mRetries,
                                                mBinding));
        mAttempts =
                new AttemptRunner(
                        context,
                        request,
                        caller,
                        cancel,
                        mProgress,
                        mEngines.map(EnginePlacer::tracker),
                        mCrashReporter,
                        mBinding);
        mReporter = new RequestReporter(request, service, isClientRetry, mProgress);
    }

    private boolean isClientRetry() {
        long waitNanos = mRequest.callerEndNanos() - mContext.clock().nanoTime();
        return mContext.clientRetries()
                .isRetry(mRequest.route().name(), Duration.ofNanos(waitNanos));
    }

    /** Relays the request until it has ended; returns whether an upstream may have run it. */
    Execution run() throws IOException, TimeoutException, InterruptedException {
        try (mCrashReporter;
                mRetries;
                mAttempts;
                CancelSignal.Registration _ = mCancel.onCancel(this::onCancelled)) {
            End end = serve();
            reportEnd(end);
            boolean mayHaveRun = end == End.SERVED || mHistory.executions() > 0;
            return mayHaveRun ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN;
        } catch (IOException | TimeoutException e) {
            reportEnd(isStopped() ? End.CUT : End.CALLER_LEFT);
            throw e;
        } catch (InterruptedException e) {
            reportEnd(End.CUT);
            throw e;
        } finally {
            mProgress.ended();
        }
    }

    private void reportEnd(End end) {
        mReporter.ended(end, mHistory, mIsThrottled, mAttempts, mEngines, mBinding.cause());
    }

    private void onCancelled() {
        if (!isStopped()) {
            mProgress.callerLeft();
        }
    }

    /** Returns whether this instance stops and gives up what it still serves. */
    private boolean isStopped() {
        return mCancel.reason() == CancelSignal.Reason.INSTANCE_STOPPING;
    }

    private End serve() throws IOException, TimeoutException, InterruptedException {
        mContext.retries().of(mService.name()).recordRequest();
        mBinding.bindContinuation();
        if (!hasUpstream()) {
            return refuseContinuation();
        }
        while (mayTry()) {
            Optional<Placement> placement = place();
            if (placement.isEmpty()) {
                break;
            }
            AttemptOutcome outcome = attemptAt(placement.get());
            if (outcome == AttemptOutcome.ENDED) {
                return End.SERVED;
            }
            recordAttempt(placement.get(), outcome);
        }
        mEngines.ifPresent(engines -> engines.prefiller().freeUnusedCache());
        return giveUp();
    }

    /**
     * Returns whether to try, or to try again. Acquires the permit of a retry already, so that a
     * request which may not be tried again is refused before it waits for a placement.
     */
    private boolean mayTry() throws InterruptedException {
        return !mCancel.isCancelled()
                && mTerms.isStillAllowed()
                && (mHistory.executions() > 0 || mStopCheck.mayBegin(mEngines))
                && AttemptRule.mayTry(mHistory, mRequest.route().attemptLimits(), timeLeft())
                && !mRetries.isExhausted()
                && !(mLastRefused && mRetries.uselessFor().isPositive())
                && mCrashReporter.tryBeginRun()
                && mRetries.tryBegin(ArrivalHistory.Phase.RUN);
    }

    private Duration timeLeft() {
        return Duration.ofNanos(mRequest.endNanos() - mContext.clock().nanoTime());
    }

    private void recordAttempt(Placement placement, AttemptOutcome outcome) {
        Incarnation upstream = placement.assignment().incarnation();
        mTried.add(upstream);
        mLastRefused = outcome == AttemptOutcome.NOT_RUN;
        mHistory = mHistory.after(outcome);
        LOG.debug(
                "%s: attempt %d at %s: %s, %s",
                mRequest.id(), mHistory.attempts(), upstream, outcome, mAttempts.lastFailure());
    }

    /** Finds a placement at an upstream, with memory reserved where that is needed. */
    private Optional<Placement> place() throws InterruptedException {
        mProgress.startWaiting(Activity.PLACEMENT);
        if (mEngines.isPresent()) {
            return placeAtEngine(mEngines.get());
        }
        return placeAtPlainService();
    }

    private Optional<Placement> placeAtEngine(EnginePlacer engines) throws InterruptedException {
        Optional<Placement> placement = engines.place(mTried);
        if (placement.isPresent()) {
            engines.availableMemory().placed();
        } else if (!mCancel.isCancelled()) {
            engines.availableMemory().notPlaced();
        }
        return placement;
    }

    /** Tries to acquire a permit for one upstream after another, each once. */
    private Optional<Placement> placeAtPlainService() throws InterruptedException {
        Set<String> throttled = new HashSet<>(mContext.throttle().throttledUpstreams());
        mIsThrottled = false;
        while (true) {
            Optional<Assignment> assignment = mContext.upstreams().assign(need(throttled), mTried);
            if (assignment.isEmpty()) {
                mIsThrottled =
                        mContext.areAllThrottled(
                                mService.name(), Stage.NONE, mBinding.constraint(), throttled);
                return Optional.empty();
            }
            Optional<SendPermit> permit = mContext.acquirePermit(assignment.get(), mRequest);
            if (permit.isPresent()) {
                return Optional.of(Placement.withoutReservation(assignment.get(), permit.get()));
            }
            throttled.add(assignment.get().id());
        }
    }

    private UpstreamDirectory.Need need(Set<String> throttled) {
        return new UpstreamDirectory.Need(
                mService.name(),
                Stage.NONE,
                UpstreamCost.PLAIN_REQUEST_MILLIS,
                UpstreamCost.CROSS_ZONE_PLAIN_MILLIS,
                !mLastRefused,
                throttled,
                mContext.maxAssignments(mService),
                UpstreamDirectory.Backlog.OWN,
                mBinding.constraint());
    }

    private AttemptOutcome attemptAt(Placement placement)
            throws IOException, TimeoutException, InterruptedException {
        try {
            Optional<KvCacheRef> cache = prefill(placement);
            // During the wait for a placement and the prefill, the table may have changed, or the
            // same request may have crashed upstreams elsewhere, or this instance may be stopping.
            AttemptOutcome outcome =
                    mTerms.isStillAllowed()
                                    && (mHistory.executions() > 0
                                            || mStopCheck.mayBeginAt(mEngines, placement))
                                    && mCrashReporter.tryBeginRun()
                                    && mRetries.tryBegin(ArrivalHistory.Phase.RUN)
                            ? run(placement, cache)
                            : AttemptOutcome.NOT_REACHED;
            boolean isAnswered =
                    outcome == AttemptOutcome.ENDED || outcome == AttemptOutcome.MAY_HAVE_RUN;
            boolean prefilledByUpstream = cache.isEmpty() && isAnswered && mAttempts.hasResponse();
            if (outcome == AttemptOutcome.NOT_REACHED && placement.reservation().isEmpty()) {
                mContext.throttle().refund(placement.permit());
            }
            mReporter.recordAttempt(placement.assignment().registration(), prefilledByUpstream);
            mEngines.ifPresent(engines -> releaseOrMarkUsed(engines, placement, outcome));
            return outcome;
        } finally {
            mEngines.ifPresent(engines -> engines.tracker().end(placement));
            mContext.upstreams().release(placement.assignment());
        }
    }

    private AttemptOutcome run(Placement placement, Optional<KvCacheRef> cache)
            throws IOException, TimeoutException, InterruptedException {
        ArrivalHistory.Result result = ArrivalHistory.Result.ARRIVED;
        long sentNanos = mContext.clock().nanoTime();
        try {
            AttemptOutcome outcome = mAttempts.run(placement, cache, mHistory);
            if (outcome == AttemptOutcome.ENDED) {
                mStopCheck.ended(mEngines, sentNanos);
            }
            result = arrival(outcome);
            return outcome;
        } finally {
            mRetries.ended(ArrivalHistory.Phase.RUN, result);
        }
    }

    private ArrivalHistory.Result arrival(AttemptOutcome outcome) {
        return switch (outcome) {
            case NOT_REACHED -> ArrivalHistory.Result.NOT_SENT;
            case NOT_RUN -> ArrivalHistory.Result.REFUSED;
            case ENDED -> ArrivalHistory.Result.ACCEPTED;
            case MAY_HAVE_RUN ->
                    mAttempts.hasResponse()
                            ? ArrivalHistory.Result.ACCEPTED
                            : ArrivalHistory.Result.ARRIVED;
        };
    }

    private Optional<KvCacheRef> prefill(Placement placement) throws InterruptedException {
        if (placement.isUnsplit() || mEngines.isEmpty()) {
            return Optional.empty();
        }
        return mEngines.get().prefiller().prefill();
    }

    /**
     * Releases what an engine has not taken, and marks what it may have taken as used. A request
     * that is queued at its engine when its caller disconnects takes nothing any more, so its
     * memory would stay reserved for up to 1.8 s; if it has taken the memory after all, the release
     * has no effect.
     */
    private void releaseOrMarkUsed(
            EnginePlacer engines, Placement placement, AttemptOutcome outcome) {
        boolean untouched =
                outcome == AttemptOutcome.NOT_RUN || outcome == AttemptOutcome.NOT_REACHED;
        if (outcome == AttemptOutcome.NOT_RUN) {
            engines.prefiller().cacheRefused();
        }
        boolean abandoned = mCancel.isCancelled() && !mAttempts.hasResponse();
        if (untouched || abandoned) {
            engines.release(placement);
        } else {
            engines.prefiller().cacheUsed();
        }
    }

    /** Ends a request that no upstream has answered completely. */
    private End giveUp() throws IOException, TimeoutException, InterruptedException {
        if (mCancel.isCancelled() && !isStopped()) {
            return End.CALLER_LEFT;
        }
        if (mAttempts.startedStream().isPresent()) {
            abortStream(mAttempts.startedStream().get().lastEventId());
            return End.CUT;
        }
        if (mAttempts.fallback().isPresent()) {
            FallbackResponse fallback = mAttempts.fallback().get();
            mCaller.sendComplete(fallback.status(), fallback.headers(), fallback.body());
            return End.UPSTREAM_ERROR;
        }
        if (mCrashReporter.isQuarantined()) {
            refuseQuarantined();
            return End.QUARANTINED;
        }
        boolean endsWithInstance = mStopCheck.retryAfter().isPresent() || isStopped();
        if (endsWithInstance && mHistory.executions() == 0) {
            refuseStopping(mStopCheck.retryAfter().orElse(RetryAfter.INSTANCE_STOPS));
            return End.INSTANCE_STOPS;
        }
        refuse();
        return mRetries.isExhausted() ? End.RETRIES_EXHAUSTED : End.GIVEN_UP;
    }

    private void abortStream(long lastEventId) {
        LOG.info(
                "%s: stream aborted after event %d: %s",
                mRequest.id(), lastEventId, mAttempts.lastFailure());
        mCaller.abort(abortCause(), mAttempts.lastFailure());
    }

    private AbortCause abortCause() {
        if (isStopped()) {
            return AbortCause.INSTANCE_STOPS;
        }
        return timeLeft().isPositive() ? AbortCause.UPSTREAM_FAILED : AbortCause.TIMED_OUT;
    }

    /**
     * Refuses a request that no upstream has run and that does not end before this instance does.
     */
    private void refuseStopping(Duration retryAfter)
            throws IOException, TimeoutException, InterruptedException {
        LOG.info("%s: refused, this instance stops: %s", mRequest.id(), mStopCheck.reason());
        mReporter.refused(retryAfter, false);
        mCaller.refuse(FinalOutcome.NOT_RUN, retryAfter);
    }

    /** Returns whether an upstream is registered that may run the request. */
    private boolean hasUpstream() {
        return mBinding.cause() == StreamBinding.Cause.NONE
                || !mContext.upstreams()
                        .available(mService.name(), stage(), mBinding.constraint())
                        .isEmpty();
    }

    /**
     * Refuses to continue a stream: no instance that could be asked knows its origin, or no
     * upstream of its version serves any more.
     */
    private End refuseContinuation() throws IOException, TimeoutException, InterruptedException {
        boolean isUnknown = mBinding.cause() == StreamBinding.Cause.UNKNOWN;
        LOG.info(
                "%s: the stream of %s cannot be continued: %s",
                mRequest.id(),
                mBinding.continuedRequestId(),
                isUnknown
                        ? "the version that began it is not known here"
                        : "no upstream of the version that began it serves");
        mCaller.refuse(FinalOutcome.NOT_CONTINUABLE, Duration.ZERO);
        return isUnknown ? End.ORIGIN_UNKNOWN : End.VERSION_GONE;
    }

    private void refuseQuarantined() throws IOException, TimeoutException, InterruptedException {
        mCrashReporter.refused();
        mCaller.refuse(FinalOutcome.QUARANTINED, Duration.ZERO);
    }

    /**
     * Also checks the upstreams as they are now: a request that may not be tried again searches for
     * no placement, but is refused for the same reason.
     */
    private boolean isThrottled() {
        return mIsThrottled
                || mEngines.map(EnginePlacer::isThrottled).orElse(false)
                || mContext.areAllThrottled(
                        mService.name(),
                        stage(),
                        mBinding.constraint(),
                        mContext.throttle().throttledUpstreams());
    }

    private Stage stage() {
        return mEngines.isEmpty() ? Stage.NONE : Stage.DECODE;
    }

    private void refuse() throws IOException, TimeoutException, InterruptedException {
        mIsThrottled = isThrottled();
        FinalOutcome outcome = FinalOutcome.of(mHistory, !timeLeft().isPositive());
        LOG.info(
                "%s: %s after %d attempts: %s%s",
                mRequest.id(),
                outcome,
                mHistory.attempts(),
                mAttempts.lastFailure(),
                refusalCause());
        Duration retryAfter = retryAfter();
        mReporter.refused(retryAfter, mContext.connections().isCutOff());
        mCaller.refuse(outcome, retryAfter);
    }

    private String refusalCause() {
        if (mIsThrottled) {
            return "; every upstream is at its stated limit or has asked for a pause";
        }
        if (mRetries.isExhausted()) {
            return "; not tried again, the limit on retries is used up";
        }
        Duration refusing = mRetries.uselessFor();
        return refusing.isPositive()
                ? "; not tried again, upstreams have refused all for %d ms"
                        .formatted(refusing.toMillis())
                : "";
    }

    /**
     * Returns the time after which the caller may retry; where upstreams state when they accept
     * work, it is based on that.
     */
    private Duration retryAfter() {
        List<Incarnation> upstreams =
                mContext.upstreams().available(mService.name(), stage(), mBinding.constraint());
        if (mIsThrottled && !upstreams.isEmpty()) {
            Duration delay =
                    mContext.throttle()
                            .retryAfter(
                                    mService.name(),
                                    upstreams,
                                    unlimitedPerSecond(upstreams.size()),
                                    mRequest.timeLeft(mContext.clock().nanoTime()));
            return RetryAfter.limit(delay, ThreadLocalRandom.current());
        }
        if (mContext.connections().isCutOff()) {
            return RetryAfter.outage(
                    mContext.connections().sincePathChange(), ThreadLocalRandom.current());
        }
        if (mLastRefused && mRetries.uselessFor().isPositive()) {
            return RetryAfter.outage(mRetries.uselessFor(), ThreadLocalRandom.current());
        }
        if (mEngines.isEmpty()) {
            return RetryAfter.plainService();
        }
        OptionalDouble roomMillis = mEngines.get().roomWait().millisToRoom();
        return roomMillis.isPresent()
                ? RetryAfter.room(
                        roomMillis.getAsDouble(), engineSpeed(), ThreadLocalRandom.current())
                : RetryAfter.engines(engineSpeed(), ThreadLocalRandom.current());
    }

    private EngineSpeed engineSpeed() {
        return mContext.speedEstimator(mService.name()).speed();
    }

    /** Returns the requests per second that an upstream without a limit is expected to accept. */
    private double unlimitedPerSecond(int upstreams) {
        if (mRequest.prompt().isPresent()) {
            int tokens = mRequest.prompt().get().tokens();
            return MILLIS_PER_SECOND / engineSpeed().requestMillis(tokens);
        }
        double slots = mContext.upstreams().slots(mService.name(), stage());
        return MILLIS_PER_SECOND / UpstreamCost.PLAIN_REQUEST_MILLIS * slots / upstreams;
    }
}
