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
import org.orchidmount.cluster.HostPort;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.relay.Handover.Part;
import org.orchidmount.relay.Handover.PromptSource;
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
    private static final long RESERVATION_MILLIS = 1_800;
    private static final Duration RESERVE_TIMEOUT = Duration.ofMillis(300);
    private static final Duration GIVE_BACK_TIMEOUT = Duration.ofMillis(500);
    private static final Duration POLL = Duration.ofMillis(45);
    private static final long SOURCE_NANOS = Duration.ofMillis(250).toNanos();
    private static final double PREFILL_PATIENCE = 2.5;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final RelayRequest.Prompt mPrompt;
    private final String mService;
    private final CancelSignal mCancel;
    private final int mNeededTokens;
    private int mPrefills;
    private Optional<PromptSource> mSource = Optional.empty();
    private long mReadNanos;

    /**
     * A place at an upstream.
     *
     * @param lease the place in this instance's book
     * @param reservation the memory reserved at the upstream, if any
     */
    record Place(Lease lease, Optional<String> reservation) {}

    EnginePath(
            RelayParts parts,
            RelayRequest request,
            RelayRequest.Prompt prompt,
            String service,
            CancelSignal cancel) {
        mParts = parts;
        mRequest = request;
        mPrompt = prompt;
        mService = service;
        mCancel = cancel;
        mNeededTokens = prompt.tokens() + parts.sizes().reserve(prompt);
    }

    /** Reserves memory at an engine, waiting shortly for one that has it. */
    Optional<Place> place(Set<String> avoided) throws InterruptedException {
        long untilNanos =
                mParts.clock().nanoTime()
                        + (long)
                                (mParts.sizes().patience(mNeededTokens)
                                        * mRequest.route().target().toNanos());
        while (!mCancel.isCancelled()) {
            boolean read = choice() != StagePolicy.Choice.REFUSE;
            Optional<Place> place = read ? placeNow(avoided) : Optional.empty();
            long nowNanos = mParts.clock().nanoTime();
            if (place.isPresent() || nowNanos - untilNanos > 0) {
                return place;
            }
            Thread.sleep(POLL);
        }
        return Optional.empty();
    }

    private Optional<Place> placeNow(Set<String> avoided) {
        Set<String> refused = new HashSet<>(avoided);
        while (true) {
            boolean first = refused.size() == avoided.size();
            Optional<Lease> lease = mParts.book().lease(answerNeed(first), refused);
            if (lease.isEmpty() || !refused.add(lease.get().id()) && !first) {
                lease.ifPresent(mParts.book()::release);
                return Optional.empty();
            }
            Optional<String> reservation = reserve(lease.get());
            if (reservation.isPresent()) {
                return Optional.of(new Place(lease.get(), reservation));
            }
            mParts.book().release(lease.get());
        }
    }

    private UpstreamBook.Need answerNeed(boolean again) {
        double work =
                mPrompt.tokens() / StagePolicy.WHOLE_TOKENS_PER_MILLI + StagePolicy.ANSWER_MILLIS;
        return new UpstreamBook.Need(mService, Stage.DECODE, work, ZONE_MILLIS, again);
    }

    private Optional<String> reserve(Lease lease) {
        HttpHead head = mParts.protocol().reserve(lease.id());
        byte[] body = mParts.protocol().reservation(mNeededTokens, RESERVATION_MILLIS);
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
                        mRequest.id(), mNeededTokens, lease.id(), response.getResponseCode());
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
        return new UpstreamBook.Need(mService, Stage.PREFILL, work, ZONE_MILLIS, true);
    }

    private StagePolicy.Choice choice() {
        return StagePolicy.choose(
                mParts.book().estimate(prefillNeed()), mRequest.route().target().toMillis());
    }

    /**
     * Has the prompt read by a prefill engine if there is one. What was read shortly before, and
     * was not taken, is used again.
     */
    Optional<PromptSource> prefill() {
        if (mSource.isPresent() && mParts.clock().nanoTime() - mReadNanos < SOURCE_NANOS) {
            return mSource;
        }
        mSource = Optional.empty();
        boolean again = mPrefills > 0;
        if (choice() == StagePolicy.Choice.WHOLE || again && !takeExtra()) {
            return Optional.empty();
        }
        Optional<Lease> lease = mParts.book().lease(prefillNeed(), Set.of());
        if (lease.isEmpty()) {
            return Optional.empty();
        }
        mPrefills++;
        try {
            mSource = readPrompt(lease.get());
            mReadNanos = mParts.clock().nanoTime();
            return mSource;
        } finally {
            mParts.book().release(lease.get());
        }
    }

    private boolean takeExtra() {
        return mParts.extras()
                .take(mService, mParts.entries().getAsInt(), mParts.clock().nanoTime());
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
            ClientResponse response = call.awaitResponse(patience());
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

    private Duration patience() {
        long nanos = (long) (PREFILL_PATIENCE * mRequest.route().target().toNanos());
        return Duration.ofNanos(Math.min(nanos, left().toNanos()));
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
