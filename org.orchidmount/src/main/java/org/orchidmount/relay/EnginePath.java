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
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.EngineRun;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.relay.Handover.PromptSource;
import org.orchidmount.routes.Service;
import org.orchidmount.upstream.CancelSignal;

/**
 * What a request to model engines needs before its answer is made: memory at an engine that
 * answers, and its prompt read.
 *
 * <p>Invariants: a prompt is read only once memory for its answer is reserved; what was reserved or
 * read and is not used is given back. Used by one virtual thread.
 */
final class EnginePath {
    private static final PartLog LOG = PartLog.of("engine");
    private static final int SUCCESS = 200;
    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final double ZONE_MILLIS = 30;

    /** What a full engine is counted as. */
    private static final double FULL_MILLIS = 300;

    private static final long RESERVATION_MILLIS = 1_800;
    private static final Duration RESERVE_TIMEOUT = Duration.ofMillis(300);
    private static final int RETURNING_PERCENT = 70;
    private static final Duration POLL = Duration.ofMillis(45);

    /** How long news of a run takes to all instances. */
    private static final Duration SPREAD = Duration.ofMillis(30);

    /** Below this fill several may be placed at an engine at the same moment without harm. */
    private static final int ROOMY_PERCENT = 50;

    /** What is reserved beyond the prompt where the runs of all instances are known. */
    private static final int FIRST_TOKENS = 256;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final RelayRequest.Prompt mPrompt;
    private final Service mService;
    private final CancelSignal mCancel;
    private final EngineRun mRun;
    private final Duration mPatience;
    private final EngineWork mWork;
    private final PromptReader mReader;

    /**
     * A place at an upstream.
     *
     * @param lease the place in this instance's book
     * @param reservation the memory reserved at the upstream, if any
     * @param run what the instances were told of it, if anything
     * @param reading that the engine also reads the prompt, if it does
     */
    record Place(
            Lease lease,
            Optional<String> reservation,
            Optional<EngineRun> run,
            Optional<EngineRun> reading) {
        /** Returns a place at an upstream of which nothing is reserved or told. */
        static Place ofPlainService(Lease lease) {
            return new Place(lease, Optional.empty(), Optional.empty(), Optional.empty());
        }
    }

    EnginePath(
            RelayParts parts,
            RelayRequest request,
            RelayRequest.Prompt prompt,
            Service service,
            CancelSignal cancel) {
        mParts = parts;
        mRequest = request;
        mPrompt = prompt;
        mService = service;
        mCancel = cancel;
        parts.sizes().observe(prompt);
        int most = prompt.answerTokens() > 0 ? prompt.answerTokens() : Integer.MAX_VALUE;
        mRun =
                new EngineRun(
                        "",
                        request.id(),
                        prompt.tokens(),
                        parts.sizes().expect(prompt),
                        most,
                        0,
                        false);
        mPatience = waitsForMemory();
        mWork = new EngineWork(parts, service);
        mReader = new PromptReader(parts, request, prompt, service, mWork, cancel);
    }

    /** Returns what reads the prompt. */
    PromptReader reader() {
        return mReader;
    }

    /** Returns what is told of the work on this request. */
    EngineWork work() {
        return mWork;
    }

    /** Has the prompt read, unless the engine of the place does it. */
    Optional<PromptSource> prefill(Place place) {
        return place.reading().isPresent() ? Optional.empty() : mReader.read();
    }

    /**
     * Returns how long to wait for memory. A new request is refused early enough to be in time when
     * it comes back; one that has come back is not sent away again while there is hope.
     */
    private Duration waitsForMemory() {
        Duration waits = Duration.ofNanos(mRequest.callerEndNanos() - mParts.clock().nanoTime());
        if (mParts.returning().isReturning(mRequest.route().name(), waits)) {
            return mRequest.route().target().multipliedBy(RETURNING_PERCENT).dividedBy(100);
        }
        double share = mParts.sizes().patience(mRun.promptTokens() + mRun.expectedTokens());
        return Duration.ofNanos((long) (share * mRequest.route().target().toNanos()));
    }

    /** Reserves memory at an engine, waiting shortly for one that has it. */
    Optional<Place> place(Set<String> avoided) throws InterruptedException {
        long untilNanos = mParts.clock().nanoTime() + mPatience.toNanos();
        while (!mCancel.isCancelled()) {
            Optional<Place> place = placeByChoice(avoided);
            long nowNanos = mParts.clock().nanoTime();
            if (place.isPresent() || nowNanos - untilNanos > 0) {
                return place;
            }
            Thread.sleep(POLL);
        }
        return Optional.empty();
    }

    private Optional<Place> placeByChoice(Set<String> avoided) throws InterruptedException {
        StagePolicy.Choice choice = mReader.choice();
        if (choice != StagePolicy.Choice.WHOLE_IF_IDLE_ELSE_SPLIT) {
            return placeNow(avoided, choice);
        }
        Optional<Place> idle = placeNow(avoided, StagePolicy.Choice.WHOLE_IF_IDLE);
        return idle.isPresent() ? idle : placeNow(avoided, StagePolicy.Choice.SPLIT);
    }

    private Optional<Place> placeNow(Set<String> avoided, StagePolicy.Choice choice)
            throws InterruptedException {
        Set<String> crowded = crowded();
        if (choice == StagePolicy.Choice.WHOLE_IF_IDLE) {
            crowded.addAll(mParts.book().others(mService.name(), Stage.DECODE, this::isIdle));
        }
        Set<String> refused = new HashSet<>(avoided);
        while (true) {
            boolean first = refused.size() == avoided.size();
            Optional<Lease> lease = mParts.book().lease(answerNeed(first, crowded), refused);
            if (lease.isEmpty() || !refused.add(lease.get().id()) && !first) {
                lease.ifPresent(mParts.book()::release);
                return Optional.empty();
            }
            Optional<String> reservation = reserve(lease.get());
            if (reservation.isPresent()) {
                Place place = placed(lease.get(), reservation, choice);
                if (isBorne(place)) {
                    return Optional.of(place);
                }
                leave(place);
                giveBack(place);
            }
            mParts.book().release(lease.get());
        }
    }

    private Place placed(Lease lease, Optional<String> reservation, StagePolicy.Choice choice) {
        Optional<EngineRun> reading = Optional.empty();
        if (choice != StagePolicy.Choice.SPLIT) {
            EngineRun prompt = EngineRun.reading(mRequest.id(), mPrompt.tokens());
            reading = Optional.of(mWork.begin(prompt, lease));
        }
        return new Place(lease, reservation, Optional.of(mWork.begin(mRun, lease)), reading);
    }

    private boolean isIdle(String upstreamId) {
        return StagePolicy.isIdle(
                mPrompt.tokens(),
                memoryShare(upstreamId),
                mParts.loads().queuedTokens(upstreamId),
                mRequest.route().longestPause().toMillis());
    }

    /** Engines whose memory would run out with this answer. */
    private Set<String> crowded() {
        return mService.engine()
                .map(engine -> mParts.loads().crowded(mRun, engine.memoryTokens()))
                .orElseGet(HashSet::new);
    }

    /**
     * Tells whether the engine still bears the answer once all have heard of it. Where the engine
     * has much room, that need not be waited for; but many may have waited for the same room.
     */
    private boolean isBorne(Place place) throws InterruptedException {
        Optional<Service.Engine> engine = mService.engine();
        if (engine.isEmpty()) {
            return true;
        }
        long memoryTokens = engine.get().memoryTokens();
        long roomyTokens = memoryTokens * ROOMY_PERCENT / 100;
        boolean roomy = !mParts.loads().crowded(mRun, roomyTokens).contains(place.lease().id());
        if (roomy) {
            return true;
        }
        Thread.sleep(SPREAD);
        return mParts.loads().bears(place.run().get(), memoryTokens);
    }

    /** Tells all instances that an engine no longer makes this answer. */
    void leave(Place place) {
        place.run().ifPresent(mWork::end);
        began(place);
    }

    /** Notes that the engine has read the prompt, if it had to. */
    void began(Place place) {
        place.reading().ifPresent(mWork::end);
    }

    /**
     * Returns the memory to reserve: where the runs of all are known, as much as lets the answer
     * begin, since a reservation keeps memory from the others that is not used yet; else all that
     * the answer is likely to take.
     */
    private int reservedTokens() {
        return mParts.news().isComplete()
                ? mPrompt.tokens() + Math.min(FIRST_TOKENS, mRun.mostTokens())
                : mPrompt.tokens() + mParts.sizes().reserve(mPrompt);
    }

    private UpstreamBook.Need answerNeed(boolean again, Set<String> crowded) {
        double work =
                mPrompt.tokens() / StagePolicy.WHOLE_TOKENS_PER_MILLI + StagePolicy.ANSWER_MILLIS;
        return new UpstreamBook.Need(
                mService.name(), Stage.DECODE, work, ZONE_MILLIS, again, crowded, this::balance);
    }

    private Optional<String> reserve(Lease lease) {
        HttpHead head = mParts.protocol().reserve(lease.id());
        int tokens = reservedTokens();
        byte[] body = mParts.protocol().reservation(tokens, RESERVATION_MILLIS);
        try (HttpCall call =
                        mParts.connections()
                                .call(lease.peer(), Step.ADMIT, head, body, RESERVE_TIMEOUT);
                CancelSignal.Registration _ = mCancel.onCancel(call::abort)) {
            ClientResponse response = call.awaitResponse(RESERVE_TIMEOUT);
            call.limitIdle(Duration.ofMillis(mParts.protocol().idleMillis(response)));
            byte[] answer = call.readAll(RESERVE_TIMEOUT, MOST_BODY_BYTES);
            if (response.getResponseCode() != SUCCESS) {
                LOG.debug(
                        "%s: %d tokens not reserved at %s: status %d",
                        mRequest.id(), tokens, lease.id(), response.getResponseCode());
                return Optional.empty();
            }
            return Optional.of(mParts.protocol().reserved(answer));
        } catch (CallFailedException e) {
            mParts.failed(lease, e.failure(), mCancel);
        } catch (IOException e) {
            LOG.info("%s: not reserved: %s", mRequest.id(), e.getMessage());
            mParts.book().failed(lease);
        }
        return Optional.empty();
    }

    /** Prefers engines whose memory is less full and that have less to read. */
    private double balance(String upstreamId, double ownMillis) {
        double readMillis =
                mParts.loads().queuedTokens(upstreamId) / StagePolicy.WHOLE_TOKENS_PER_MILLI;
        return ownMillis + readMillis + FULL_MILLIS * memoryShare(upstreamId);
    }

    private double memoryShare(String upstreamId) {
        double memory = mService.engine().map(Service.Engine::memoryTokens).orElse(0L);
        return memory > 0 ? mParts.loads().heldTokens(upstreamId) / memory : 0;
    }

    /** Gives back the memory of a place that the request did not take. */
    void giveBack(Place place) {
        place.reservation()
                .ifPresent(
                        name ->
                                mParts.giveBack(
                                        place.lease().peer(), mParts.protocol().unreserve(name)));
    }
}
