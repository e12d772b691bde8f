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
import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.cluster.HostPort;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.EngineRun;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.relay.Handover.Part;
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
    private static final Duration GIVE_BACK_TIMEOUT = Duration.ofMillis(500);
    private static final int RETURNING_PERCENT = 70;
    private static final Duration POLL = Duration.ofMillis(45);

    /** How long news of a run takes to all instances. */
    private static final Duration SPREAD = Duration.ofMillis(30);

    /** Below this fill several may be placed at an engine at the same moment without harm. */
    private static final int ROOMY_PERCENT = 50;

    private static final long SOURCE_NANOS = Duration.ofMillis(250).toNanos();
    private static final double PREFILL_PATIENCE = 2;
    private static final Duration PREFILL_MARGIN = Duration.ofMillis(400);
    private static final double NANOS_PER_MILLI = 1e6;

    /** How many engines are asked in turn to read a prompt. */
    private static final int MOST_PREFILLS = 2;

    /** What is reserved beyond the prompt where the runs of all instances are known. */
    private static final int FIRST_TOKENS = 256;

    /** A shorter stream does not tell how fast its engine is. */
    private static final int FEWEST_EVENTS = 8;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final RelayRequest.Prompt mPrompt;
    private final Service mService;
    private final CancelSignal mCancel;
    private final EngineRun mRun;
    private final Duration mPatience;
    private final AtomicInteger mMadeTokens = new AtomicInteger();
    private int mPlacements;
    private int mPrefills;
    private Optional<PromptSource> mSource = Optional.empty();
    private long mReadNanos;

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
        StagePolicy.Choice choice = choice();
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
            reading = Optional.of(enter(prompt, lease));
        }
        return new Place(lease, reservation, Optional.of(enter(mRun, lease)), reading);
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

    /** Tells all instances what an engine works on for this request. */
    private EngineRun enter(EngineRun unplaced, Lease lease) {
        mMadeTokens.set(0);
        EngineRun run = unplaced.at(lease.id(), ++mPlacements);
        mParts.loads().apply(run);
        mParts.news().begin(run, mMadeTokens::get);
        return run;
    }

    /** Tells all instances that an engine no longer makes this answer. */
    void leave(Place place) {
        place.run().ifPresent(this::leave);
        began(place);
    }

    /** Notes that the engine has read the prompt, if it had to. */
    void began(Place place) {
        place.reading().ifPresent(this::leave);
    }

    private void leave(EngineRun run) {
        mParts.loads().apply(run.end());
        mParts.news().end(run.end());
    }

    /** Notes how far the answer has come at its engine. */
    void made(long events) {
        mMadeTokens.set((int) Math.min(mRun.mostTokens(), events * eventTokens()));
    }

    private int eventTokens() {
        return mService.engine().map(Service.Engine::eventTokens).orElse(1);
    }

    /** Notes how fast a whole stream was made. */
    void streamed(long events, StreamTiming timing) {
        double millis = timing.lastedMillis();
        if (events >= FEWEST_EVENTS && millis > 0) {
            mParts.loads().observeSpeed((events - 1) * eventTokens() / millis);
        }
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
            failed(lease, e.failure());
        } catch (IOException e) {
            LOG.info("%s: not reserved: %s", mRequest.id(), e.getMessage());
            mParts.book().failed(lease);
        }
        return Optional.empty();
    }

    private void failed(Lease lease, Failure failure) {
        LOG.debug("%s: %s", mRequest.id(), failure.describe());
        if (mCancel.isCancelled()) {
            return;
        }
        if (failure.mayHaveRun()) {
            mParts.book().failed(lease);
        } else {
            mParts.book().unreachable(lease);
        }
    }

    private UpstreamBook.Need prefillNeed() {
        double work = mPrompt.tokens() / StagePolicy.PREFILL_TOKENS_PER_MILLI;
        return new UpstreamBook.Need(
                mService.name(),
                Stage.PREFILL,
                work,
                ZONE_MILLIS,
                false,
                Set.of(),
                this::readingMillis);
    }

    /** Counts what all instances have given an engine to read. */
    private double readingMillis(String upstreamId, double ownMillis) {
        double allMillis =
                mParts.loads().queuedTokens(upstreamId) / StagePolicy.PREFILL_TOKENS_PER_MILLI;
        return Math.max(ownMillis, allMillis);
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

    private StagePolicy.Choice choice() {
        return StagePolicy.choose(
                mParts.book().estimate(prefillNeed()), mRequest.route().target().toMillis());
    }

    /**
     * Has the prompt read by a prefill engine if there is one. What was read shortly before, and
     * was not taken, is used again.
     */
    Optional<PromptSource> prefill(Place place) {
        if (mSource.isPresent() && mParts.clock().nanoTime() - mReadNanos < SOURCE_NANOS) {
            return mSource;
        }
        mSource = Optional.empty();
        Set<String> asked = new HashSet<>();
        while (mSource.isEmpty() && place.reading().isEmpty() && mayPrefill(asked)) {
            Optional<Lease> lease = mParts.book().lease(prefillNeed(), asked);
            if (lease.isEmpty()) {
                break;
            }
            asked.add(lease.get().id());
            mSource = prefillAt(lease.get());
        }
        return mSource;
    }

    private boolean mayPrefill(Set<String> asked) {
        boolean first = mPrefills == 0;
        return !mCancel.isCancelled() && asked.size() < MOST_PREFILLS && (first || takeExtra());
    }

    private Optional<PromptSource> prefillAt(Lease lease) {
        mPrefills++;
        EngineRun run = enter(EngineRun.reading(mRequest.id(), mPrompt.tokens()), lease);
        try {
            Optional<PromptSource> source = readPrompt(lease);
            mReadNanos = mParts.clock().nanoTime();
            return source;
        } finally {
            leave(run);
            mParts.book().release(lease);
        }
    }

    private boolean takeExtra() {
        return mParts.extras()
                .take(mService.name(), mParts.entries().getAsInt(), mParts.clock().nanoTime());
    }

    private Optional<PromptSource> readPrompt(Lease lease) {
        Handover handover =
                new Handover(
                        lease.id(), left(), Part.PREFILL, Optional.empty(), Optional.empty(), 0);
        HttpHead head = mParts.protocol().head(mRequest, handover);
        try (HttpCall call =
                        mParts.connections()
                                .call(lease.peer(), Step.PREFILL, head, mRequest.body(), left());
                CancelSignal.Registration _ = mCancel.onCancel(call::abort)) {
            ClientResponse response = call.awaitResponse(patience(lease));
            call.limitIdle(Duration.ofMillis(mParts.protocol().idleMillis(response)));
            byte[] body = call.readAll(GIVE_BACK_TIMEOUT, MOST_BODY_BYTES);
            if (response.getResponseCode() != SUCCESS) {
                LOG.debug(
                        "%s: prompt not read at %s: status %d",
                        mRequest.id(), lease.id(), response.getResponseCode());
                mParts.book().full(lease);
                return Optional.empty();
            }
            mParts.book().succeeded(lease);
            String address = lease.peer().host() + ":" + lease.peer().port();
            return Optional.of(new PromptSource(address, mParts.protocol().handle(body)));
        } catch (CallFailedException e) {
            failed(lease, e.failure());
        } catch (IOException e) {
            LOG.info("%s: prompt not read: %s", mRequest.id(), e.getMessage());
            mParts.book().failed(lease);
        }
        return Optional.empty();
    }

    private Duration left() {
        return Duration.ofNanos(Math.max(1, mRequest.endNanos() - mParts.clock().nanoTime()));
    }

    /** A prefill engine that says nothing for much longer than it should need is given up. */
    private Duration patience(Lease lease) {
        double nanos = PREFILL_PATIENCE * lease.doneMillis() * NANOS_PER_MILLI;
        long most = (long) nanos + PREFILL_MARGIN.toNanos();
        return Duration.ofNanos(Math.min(most, left().toNanos()));
    }

    /** Gives back the memory of a place that the request did not take. */
    void giveBack(Place place) {
        place.reservation()
                .ifPresent(name -> tell(place.lease().peer(), mParts.protocol().unreserve(name)));
    }

    /** Gives back a prompt that was read and that no engine has taken. */
    void end() {
        mSource.ifPresent(
                read -> {
                    HostPort address = HostPort.parse(read.address());
                    tell(
                            new Peer(read.address(), address.host(), address.port()),
                            mParts.protocol().freeHandle(read.handle()));
                });
        mSource = Optional.empty();
    }

    /** Notes that an engine has taken the prompt that was read. */
    void taken() {
        mSource = Optional.empty();
    }

    /** Makes a call whose answer does not matter, on a thread of its own. */
    private void tell(Peer peer, HttpHead head) {
        Thread.ofVirtual()
                .name("give-back")
                .start(
                        () -> {
                            try (HttpCall call =
                                    mParts.connections().call(peer, Step.CANCEL, head)) {
                                call.awaitResponse(GIVE_BACK_TIMEOUT);
                                call.readAll(GIVE_BACK_TIMEOUT, MOST_BODY_BYTES);
                            } catch (CallFailedException e) {
                                LOG.debug("not given back: %s", e.failure().describe());
                            }
                        });
    }
}
