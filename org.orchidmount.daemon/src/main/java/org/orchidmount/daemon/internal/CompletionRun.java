/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.blackboard.Reservation;
import org.orchidmount.blackboard.Ticket;
import org.orchidmount.blackboard.Ticket.Verdict;
import org.orchidmount.errors.Attempt;
import org.orchidmount.errors.Failure;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.quarantine.CrashReports;
import org.orchidmount.quarantine.RequestFingerprint;
import org.orchidmount.quarantine.RunGuard;
import org.orchidmount.routing.Decision;
import org.orchidmount.routing.PromptBlocks;
import org.orchidmount.routing.RequestInfo;
import org.orchidmount.routing.RetryAfter;
import org.orchidmount.routing.TableAttemptRule;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.upstream.EngineRequest;
import org.orchidmount.upstream.PrefillResult;
import org.orchidmount.upstream.TokenChunk;
import org.orchidmount.upstream.TokenStream;

/**
 * The path of one completion request from its admission to the end of its answer.
 *
 * <p>Invariants: whatever was sent to an engine is either answered by it or cancelled at it; the
 * reservation is given back when the attempt ends; "not run" is answered only while nothing was
 * handed to any engine. Retries happen here and nowhere below. Used by one virtual thread.
 */
final class CompletionRun {
    private static final PartLog LOG = PartLog.of("request");

    private final Parts mParts;
    private final CompletionRequest mRequest;
    private final String mId;
    private final AnswerWriter mWriter;
    private final CancelSignal mCancel;
    private final long mArrivedNanos;
    private final RunGuard mGuard;
    private final Set<String> mExcluded = new HashSet<>();
    private final StringBuilder mGenerated = new StringBuilder();
    private int mDelivered;
    private int mAttempt;
    private int mAttemptsSinceToken;
    private boolean mMayHaveRun;

    CompletionRun(
            Parts parts,
            CompletionRequest request,
            String id,
            AnswerWriter writer,
            CancelSignal cancel,
            long arrivedNanos) {
        mParts = parts;
        mRequest = request;
        mId = id;
        mWriter = writer;
        mCancel = cancel;
        mArrivedNanos = arrivedNanos;
        mGuard = new RunGuard(parts.crashes(), this::fingerprint, RunGuard.SERIALIZE_PROMPTS_AFTER);
    }

    private RequestFingerprint fingerprint() {
        return RequestFingerprint.of(
                mRequest.identity().account().name(),
                Methods.POST_STRING,
                "",
                mRequest.chat() ? EngineProtocol.CHAT_COMPLETIONS : EngineProtocol.COMPLETIONS,
                Json.bytes(mRequest.body()));
    }

    /** Serves the request to its end. */
    void run() throws IOException, TimeoutException, InterruptedException {
        try (mGuard) {
            makeAttempts();
        }
    }

    private void makeAttempts() throws IOException, TimeoutException, InterruptedException {
        mParts.retries().recordRequest();
        while (true) {
            if (!mGuard.tryBeginRun()) {
                finish(mayNotRun(), AbortCause.UPSTREAM_FAILED);
                return;
            }
            Ticket ticket = ticket();
            switch (await(ticket)) {
                case Verdict.Withdrawn _ -> {
                    endCancelled();
                    return;
                }
                case Verdict.Refused(Decision.Refuse refuse) -> {
                    finish(refuse);
                    return;
                }
                case Verdict.Placed(Decision.Place _, Reservation reservation) -> {
                    if (attempt(ticket, reservation)) {
                        return;
                    }
                }
            }
        }
    }

    private Verdict await(Ticket ticket) throws InterruptedException {
        if (mAttempt++ == 0) {
            mParts.admission().submit(ticket);
        } else {
            mParts.admission().resubmit(ticket);
        }
        try (CancelSignal.Registration _ =
                mCancel.onCancel(() -> mParts.admission().withdraw(ticket))) {
            return ticket.verdict().get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a verdict failed", e);
        }
    }

    /** Runs one attempt; returns true if the request has ended. */
    private boolean attempt(Ticket ticket, Reservation reservation)
            throws IOException, TimeoutException, InterruptedException {
        int deliveredBefore = mDelivered;
        Failure failure;
        try {
            failure = serve(reservation);
        } finally {
            mParts.admission().end(ticket, reservation);
        }
        mAttemptsSinceToken = mDelivered > deliveredBefore ? 1 : mAttemptsSinceToken + 1;
        if (failure == null) {
            mGuard.survived();
            mWriter.complete();
            count("completed");
            return true;
        }
        mMayHaveRun |= failure.mayHaveRun();
        if (mCancel.isCancelled()) {
            endCancelled();
            return true;
        }
        LOG.info("%s: attempt %d failed: %s", mId, mAttempt, failure.describe());
        boolean again =
                TableAttemptRule.mayRetryCompletion(failure)
                        && TableAttemptRule.hasAttemptsLeft(mAttemptsSinceToken);
        if (again && mayRetry()) {
            mExcluded.add(failure.peer());
            return false;
        }
        finish(refusal(failure), AbortCauses.of(failure));
        return true;
    }

    /** Ends a cancelled request: a caller that is still there gets its outcome. */
    private void endCancelled() throws IOException, TimeoutException, InterruptedException {
        if (mCancel.reason() == CancelSignal.Reason.CALLER_GONE) {
            count("gone");
            return;
        }
        finish(new Decision.Refuse(Decision.RefuseReason.STOPPING, RetryAfter.TABLE_MILLIS));
    }

    private boolean mayRetry() {
        return !TableAttemptRule.takesFromBudget(mAttempt, mDelivered)
                || mParts.retries().tryAcquire();
    }

    private Failure serve(Reservation reservation) throws InterruptedException {
        String prefillId = mId + "-p" + mAttempt;
        phase("prefill", reservation);
        long startNanos = mParts.clock().nanoTime();
        EngineRequest request = engineRequest(reservation.prefill(), prefillId);
        return switch (mParts.engines().prefill(request, mCancel)) {
            case Attempt.Failed<PrefillResult>(Failure failure) -> {
                abandon(reservation.prefill(), prefillId, failure);
                reportCrash(reservation.prefill(), failure, mDelivered);
                yield failure;
            }
            case Attempt.Done<PrefillResult>(PrefillResult result) -> {
                mMayHaveRun = true;
                int uncached = Math.max(0, result.promptTokens() - result.cachedTokens());
                long tookNanos = mParts.clock().nanoTime() - startNanos;
                mParts.board().prefillDone(reservation, uncached, tookNanos);
                int deliveredBefore = mDelivered;
                Failure failure = decode(reservation, result);
                if (failure != null) {
                    mParts.cleaner().clean(reservation.prefill(), prefillId);
                    if (mDelivered == deliveredBefore) {
                        mParts.metrics().meter("prefill.tokens.wasted").mark(uncached);
                    }
                }
                yield failure;
            }
        };
    }

    /**
     * Reports it if the engine has ended under the request. Engines of the table have one start.
     */
    private void reportCrash(Peer engine, Failure failure, int deliveredBefore) {
        boolean hasCallerLeft = mCancel.reason() == CancelSignal.Reason.CALLER_GONE;
        if (hasCallerLeft && failure.mayHaveRun()) {
            mGuard.abandoned(engine, () -> false, deliveredBefore, mDelivered);
        }
        if (!mCancel.isCancelled() && CrashReports.mayBeCrash(failure)) {
            Incarnation upstream = Incarnation.ofUnknownStart(engine.name());
            mGuard.failed(failure, upstream, engine, deliveredBefore, mDelivered);
        }
    }

    private Failure decode(Reservation reservation, PrefillResult prefilled)
            throws InterruptedException {
        Peer engine = reservation.decode();
        int deliveredBefore = mDelivered;
        String decodeId = mId + "-d" + mAttempt;
        phase("decode", reservation);
        Failure failure =
                switch (mParts.engines()
                        .decode(engineRequest(engine, decodeId), prefilled, mCancel)) {
                    case Attempt.Failed<TokenStream>(Failure refused) -> refused;
                    case Attempt.Done<TokenStream>(TokenStream stream) -> {
                        ResumeTokens.Resumable source =
                                new ResumeTokens.Resumable(
                                        engine.name(),
                                        decodeId,
                                        mRequest.identity().account().name(),
                                        mId,
                                        mDelivered);
                        yield new TokenRelay(
                                        mParts,
                                        engine,
                                        source,
                                        mDelivered,
                                        mWriter,
                                        mCancel,
                                        chunk -> onToken(chunk, reservation))
                                .run(stream);
                    }
                };
        if (failure != null) {
            abandon(engine, decodeId, failure);
            reportCrash(engine, failure, deliveredBefore);
        }
        return failure;
    }

    private void onToken(TokenChunk chunk, Reservation reservation) {
        if (mDelivered == 0) {
            long tookNanos = mParts.clock().nanoTime() - mArrivedNanos;
            mParts.metrics().timer("request.first.token").update(tookNanos, TimeUnit.NANOSECONDS);
        }
        if (chunk.offset() == 0) {
            mParts.board().transferDone(reservation);
        }
        mGenerated.append(chunk.text());
        mDelivered++;
    }

    /** Cancels what may be left at an engine, and counts the failure against it. */
    private void abandon(Peer engine, String engineRequestId, Failure failure) {
        boolean elsewhere = failure instanceof Failure.Superseded;
        if (failure.mayHaveRun() && !elsewhere) {
            mParts.cleaner().clean(engine, engineRequestId);
        }
        boolean blameless =
                mCancel.isCancelled() || elsewhere || failure instanceof Failure.Rejected;
        if (!blameless) {
            mParts.board().failed(engine.name());
        }
    }

    private Ticket ticket() {
        PromptBlocks blocks =
                mDelivered == 0
                        ? mRequest.blocks()
                        : PromptBlocks.of(mRequest.prompt() + mGenerated);
        int leftTokens = Math.max(1, mRequest.maxTokens() - mDelivered);
        long kvBytesPerToken = mRequest.model().kvBytesPerToken();
        boolean fresh = mDelivered == 0;
        RequestInfo info =
                new RequestInfo(
                        mId,
                        mRequest.model().name(),
                        blocks.tokens(),
                        leftTokens,
                        (blocks.tokens() + leftTokens) * kvBytesPerToken,
                        blocks.tokens() * kvBytesPerToken,
                        fresh ? mRequest.maxFirstTokenMillis() : 0,
                        fresh ? mArrivedNanos : mParts.clock().nanoTime());
        return new Ticket(
                info,
                blocks,
                mRequest.identity().account(),
                mRequest.identity().requestClass(),
                mRequest.model(),
                Set.copyOf(mExcluded),
                new CompletableFuture<>());
    }

    private EngineRequest engineRequest(Peer engine, String engineRequestId) {
        ObjectNode body = mRequest.body().deepCopy();
        body.put("max_tokens", Math.max(1, mRequest.maxTokens() - mDelivered));
        if (mDelivered > 0) {
            continueAnswer(body);
        }
        String path =
                mRequest.chat() ? EngineProtocol.CHAT_COMPLETIONS : EngineProtocol.COMPLETIONS;
        int priority = mRequest.identity().requestClass().priority();
        return new EngineRequest(engine, engineRequestId, path, body, priority);
    }

    /** Makes the engine go on behind the tokens that the caller already has. */
    private void continueAnswer(ObjectNode body) {
        if (!mRequest.chat()) {
            body.put("prompt", mRequest.prompt() + mGenerated);
            return;
        }
        body.withArray("messages")
                .addObject()
                .put("role", "assistant")
                .put("content", mGenerated.toString());
        body.put("continue_final_message", true);
        body.put("add_generation_prompt", false);
    }

    /** Tells why no run may begin: coming back helps only if another copy runs. */
    private Refusal mayNotRun() {
        Outcome outcome = mMayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        if (mGuard.isQuarantined()) {
            mParts.crashes().refused();
            String message = Messages.QUARANTINED.formatted(mGuard.fingerprint());
            return new Refusal(StatusCodes.BAD_REQUEST, "quarantined", message, outcome, 0);
        }
        return new Refusal(
                StatusCodes.SERVICE_UNAVAILABLE,
                "copy_runs",
                Messages.COPY_RUNS,
                outcome,
                mMayHaveRun ? 0 : RetryAfter.TABLE_MILLIS);
    }

    private Refusal refusal(Failure failure) {
        String message = Messages.UPSTREAMS_FAILED.formatted(failure.describe());
        if (!mMayHaveRun) {
            return Refusal.notNow(
                    StatusCodes.SERVICE_UNAVAILABLE, "upstream_unreachable", message, 1_000);
        }
        if (failure instanceof Failure.Rejected rejected
                && rejected.status() < StatusCodes.INTERNAL_SERVER_ERROR) {
            return new Refusal(
                    StatusCodes.BAD_REQUEST, "engine_rejected", message, Outcome.UNKNOWN, 0);
        }
        return Refusal.failed(message);
    }

    private void finish(Decision.Refuse refuse)
            throws IOException, TimeoutException, InterruptedException {
        Outcome outcome = mMayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        finish(Refusal.of(refuse, outcome), AbortCauses.of(refuse.reason()));
    }

    private void finish(Refusal refusal, AbortCause cause)
            throws IOException, TimeoutException, InterruptedException {
        count(refusal.outcome().label());
        LOG.info("%s: %s, %s", mId, refusal.outcome().label(), refusal.message());
        mWriter.fail(refusal, cause);
    }

    private void phase(String phase, Reservation reservation) {
        mParts.requests()
                .update(mId, phase, reservation.prefill().name(), reservation.decode().name());
    }

    private void count(String end) {
        mParts.metrics().meter(MetricRegistry.name("request", "ended", end)).mark();
    }
}
