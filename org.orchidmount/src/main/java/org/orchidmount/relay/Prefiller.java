/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.client.ClientResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.orchidmount.clock.Millis;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.pacing.SendPermit;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.relay.UpstreamCall.Phase;
import org.orchidmount.retry.ArrivalHistory;
import org.orchidmount.retry.RequestRetries;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.PrefillRule;
import org.orchidmount.routing.PrefillTimeoutRule;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.upstream.CancelSignal;

/**
 * Has the prompt of one request prefilled by prefill engines.
 *
 * <p>Invariants: a KV cache that no decode engine has taken is freed; a KV cache whose engine has
 * restarted is lost, and its handle is neither sent nor freed. Confined to one virtual thread.
 */
final class Prefiller {
    private static final PartLog LOG = PartLog.of("prefill");

    /** Time allowed to read the body of a prefill response after its head. */
    private static final Duration RESPONSE_BODY_TIMEOUT = Duration.ofMillis(500);

    /**
     * Time within which an unused KV cache is used by another attempt; half of the 500 ms for which
     * engines keep it.
     */
    private static final Duration REUSE_WINDOW = Duration.ofMillis(250);

    /**
     * Maximum number of prefill engines that {@link #prefill} asks, one after another. If the first
     * fails or stays silent, a second is asked; more are not, since each may cost a further wait.
     */
    private static final int MAX_ENGINES = 2;

    /**
     * Number of decode engines that refuse a KV cache before it is given up; a single one may
     * itself be at fault.
     */
    private static final int MAX_CACHE_REFUSALS = 2;

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final RelayRequest.Prompt mPrompt;
    private final Service mService;
    private final SequenceTracker mTracker;
    private final CancelSignal mCancel;
    private final RequestProgress mProgress;
    private final CrashReporter mCrashReporter;
    private final RequestRetries mRetries;
    private final long mArrivedNanos;
    private int mCacheRefusals;
    private Optional<Assignment> mPrefillAssignment = Optional.empty();
    private Optional<KvCacheRef> mUnusedCache = Optional.empty();
    private long mPrefilledNanos;
    private int mPrefilledTokens;

    Prefiller(
            RelayContext context,
            RelayRequest request,
            RelayRequest.Prompt prompt,
            Service service,
            SequenceTracker tracker,
            CancelSignal cancel,
            RequestProgress progress,
            CrashReporter crashReporter,
            RequestRetries retries) {
        mContext = context;
        mRequest = request;
        mPrompt = prompt;
        mService = service;
        mTracker = tracker;
        mCancel = cancel;
        mProgress = progress;
        mCrashReporter = crashReporter;
        mRetries = retries;
        mArrivedNanos = context.clock().nanoTime();
    }

    /** Returns where the prompt is to be prefilled, given the load of the prefill engines. */
    PrefillRule.Choice choice() {
        if (mCacheRefusals >= MAX_CACHE_REFUSALS) {
            return PrefillRule.Choice.UNSPLIT;
        }
        return PrefillRule.choose(
                mContext.upstreams().estimateMillis(need()),
                engineSpeed().prefillEngineMillis(mPrompt.tokens()),
                targetLeftMillis());
    }

    /** Returns the time left until the target; the whole target once it has passed. */
    private double targetLeftMillis() {
        Duration target = mRequest.route().targetLatency();
        double leftMillis =
                target.toMillis() - Millis.ofNanos(mContext.clock().nanoTime() - mArrivedNanos);
        return leftMillis > 0 ? leftMillis : target.toMillis();
    }

    private UpstreamDirectory.Need need() {
        return new UpstreamDirectory.Need(
                mService.name(),
                Stage.PREFILL,
                engineSpeed().prefillEngineMillis(mPrompt.tokens()),
                UpstreamCost.CROSS_ZONE_ENGINE_MILLIS,
                false,
                mContext.throttle().throttledUpstreams(),
                mContext.maxAssignments(mService),
                this::backlogMillis);
    }

    /** Returns the prefill backlog that all instances together have assigned to an engine. */
    private double backlogMillis(String upstreamId, double ownMillis) {
        int tokens = mContext.loads().prefillBacklogTokens(upstreamId);
        return Math.max(ownMillis, engineSpeed().prefillEngineMillis(tokens));
    }

    private EngineSpeed engineSpeed() {
        return mContext.speedEstimator(mService.name()).speed();
    }

    /**
     * Has the prompt prefilled if a prefill engine is available. A KV cache that was created
     * shortly before and has not been used is returned again.
     *
     * @return the location of the KV cache; empty if no engine has prefilled the prompt
     * @throws InterruptedException if the thread is interrupted
     */
    Optional<KvCacheRef> prefill() throws InterruptedException {
        discardIfRestarted();
        boolean fresh = mContext.clock().nanoTime() - mPrefilledNanos < REUSE_WINDOW.toNanos();
        if (mUnusedCache.isPresent() && fresh) {
            return mUnusedCache;
        }
        freeUnusedCache();
        Set<Incarnation> asked = new HashSet<>();
        while (mUnusedCache.isEmpty() && mayAsk(asked.size())) {
            Optional<Assignment> assignment = mContext.upstreams().assign(need(), asked);
            if (assignment.isEmpty()) {
                break;
            }
            asked.add(assignment.get().incarnation());
            Optional<SendPermit> permit = mContext.acquirePermit(assignment.get(), mRequest);
            if (permit.isEmpty()) {
                continue;
            }
            if (!mRetries.tryBegin(ArrivalHistory.Phase.PREFILL)) {
                mContext.throttle().refund(permit.get());
                mContext.upstreams().release(assignment.get());
                break;
            }
            mUnusedCache = prefillAt(assignment.get());
            discardIfRestarted();
        }
        return mUnusedCache;
    }

    private void discardIfRestarted() {
        if (mPrefillAssignment.filter(Assignment::hasRestarted).isPresent()) {
            mUnusedCache = Optional.empty();
        }
    }

    private boolean mayAsk(int asked) {
        return !mCancel.isCancelled() && asked < MAX_ENGINES && mCrashReporter.tryBeginRun();
    }

    private Optional<KvCacheRef> prefillAt(Assignment assignment) {
        int queueTokens = mPrompt.tokens() + mContext.loads().prefillBacklogTokens(assignment.id());
        InFlightSequence unplaced = InFlightSequence.ofPrefill(mRequest.id(), mPrompt.tokens());
        InFlightSequence sequence = mTracker.begin(unplaced, assignment);
        try {
            Optional<KvCacheRef> cache = call(assignment);
            mPrefilledNanos = mContext.clock().nanoTime();
            if (cache.isPresent()) {
                mPrefilledTokens += mPrompt.tokens();
                double tookMillis = Millis.ofNanos(mPrefilledNanos - assignment.assignedNanos());
                mContext.evidence()
                        .measured(
                                assignment.incarnation(),
                                tookMillis,
                                engineSpeed().prefillEngineMillis(queueTokens));
                mContext.speedEstimator(mService.name()).observePrefill(queueTokens, tookMillis);
            }
            mPrefillAssignment = Optional.of(assignment);
            return cache;
        } finally {
            mTracker.end(sequence);
            mContext.upstreams().release(assignment);
        }
    }

    private Optional<KvCacheRef> call(Assignment assignment) {
        UpstreamProtocol protocol = mContext.protocol();
        UpstreamCall prefill =
                new UpstreamCall(
                        assignment.id(),
                        timeLeft(),
                        Phase.PREFILL,
                        Optional.empty(),
                        Optional.empty(),
                        0);
        HttpHead head = protocol.head(mRequest, prefill);
        mProgress.startWaiting(Activity.PREFILL, assignment.id());
        long sentNanos = mContext.clock().nanoTime();
        ArrivalHistory.Result result = ArrivalHistory.Result.ARRIVED;
        try (CallCancel cancel = new CallCancel(mCancel, assignment);
                HttpCall call =
                        mContext.connections()
                                .call(
                                        assignment.peer(),
                                        Step.PREFILL,
                                        head,
                                        mRequest.body(),
                                        timeLeft(),
                                        cancel.signal())) {
            ClientResponse response = call.awaitResponse(responseTimeout(assignment));
            call.limitIdle(protocol.idleTimeout(response));
            mContext.responded(assignment, response, sentNanos);
            Optional<KvCacheRef> cache = onResponseHead(assignment, call, response);
            if (cache.isPresent()) {
                result = ArrivalHistory.Result.ACCEPTED;
            }
            return cache;
        } catch (CallFailedException e) {
            if (!e.failure().mayHaveRun()) {
                result = ArrivalHistory.Result.NOT_SENT;
            }
            mContext.callFailed(assignment, e.failure(), mCancel);
            mCrashReporter.failed(assignment, e.failure(), 0, 0);
        } catch (IOException e) {
            LOG.info(
                    "%s: cannot parse the prefill response of %s: %s",
                    mRequest.id(), assignment.id(), e.getMessage());
            mContext.upstreams().failed(assignment);
        } finally {
            mRetries.ended(ArrivalHistory.Phase.PREFILL, result);
        }
        return Optional.empty();
    }

    private Optional<KvCacheRef> onResponseHead(
            Assignment assignment, HttpCall call, ClientResponse response)
            throws CallFailedException, IOException {
        byte[] body = call.readAll(RESPONSE_BODY_TIMEOUT, RelayContext.MAX_CONTROL_BYTES);
        if (!HttpStatus.isOk(response.getResponseCode())) {
            LOG.debug(
                    "%s: prompt not prefilled at %s: status %d",
                    mRequest.id(), assignment.id(), response.getResponseCode());
            mContext.refused(assignment);
            return Optional.empty();
        }
        mContext.upstreams().responseReceived(assignment);
        String address = assignment.peer().host() + ":" + assignment.peer().port();
        return Optional.of(new KvCacheRef(address, mContext.protocol().parsePrefill(body)));
    }

    private Duration timeLeft() {
        return mRequest.timeLeft(mContext.clock().nanoTime());
    }

    private Duration responseTimeout(Assignment assignment) {
        return PrefillTimeoutRule.responseTimeout(
                assignment.nominalMillis(), mRequest.route().targetLatency(), timeLeft());
    }

    /** Returns the tokens that prefill engines have prefilled for the request. */
    int prefilledTokens() {
        return mPrefilledTokens;
    }

    /** Frees a KV cache that no decode engine has taken. */
    void freeUnusedCache() {
        discardIfRestarted();
        mUnusedCache.ifPresent(
                cache ->
                        mContext.release(
                                mPrefillAssignment.orElseThrow(),
                                mContext.protocol().freeCacheHead(cache.handle())));
        mUnusedCache = Optional.empty();
    }

    /**
     * Records that a decode engine has refused the request with its KV cache. The cause may be the
     * decode engine itself; but a cache that two engines have refused cannot be fetched, because
     * the prefill engine no longer holds it or cannot send it. The cache is then given up, the
     * prefill engine counts as failed, and the decode engine prefills the prompt itself, because
     * another remote prefill would be wasted too. A cache whose engine has restarted is lost for a
     * known reason and does not count.
     */
    void cacheRefused() {
        discardIfRestarted();
        if (mUnusedCache.isEmpty()) {
            return;
        }
        mCacheRefusals++;
        if (mCacheRefusals >= MAX_CACHE_REFUSALS) {
            mPrefillAssignment.ifPresent(mContext.upstreams()::failed);
            freeUnusedCache();
        }
    }

    /**
     * Records that a decode engine has taken the KV cache, which shows that the prefill succeeded.
     */
    void cacheUsed() {
        if (mUnusedCache.isPresent()) {
            mPrefillAssignment.ifPresent(mContext.upstreams()::confirmed);
        }
        mUnusedCache = Optional.empty();
    }
}
