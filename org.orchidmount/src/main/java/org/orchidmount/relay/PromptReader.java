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
 * Has the prompt of one request read by prefill engines.
 *
 * <p>Invariant: what was read and was not taken is given back. Used by one virtual thread.
 */
final class PromptReader {
    private static final PartLog LOG = PartLog.of("prefill");
    private static final int SUCCESS = 200;
    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final double ZONE_MILLIS = 30;
    private static final Duration BODY_TIMEOUT = Duration.ofMillis(500);
    private static final long SOURCE_NANOS = Duration.ofMillis(250).toNanos();
    private static final double PATIENCE = 2;
    private static final Duration MARGIN = Duration.ofMillis(400);
    private static final double NANOS_PER_MILLI = 1e6;

    /** How many engines are asked in turn to read a prompt. */
    private static final int MOST_ENGINES = 2;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final RelayRequest.Prompt mPrompt;
    private final Service mService;
    private final EngineWork mWork;
    private final CancelSignal mCancel;
    private int mReadings;
    private Optional<PromptSource> mSource = Optional.empty();
    private long mReadNanos;

    PromptReader(
            RelayParts parts,
            RelayRequest request,
            RelayRequest.Prompt prompt,
            Service service,
            EngineWork work,
            CancelSignal cancel) {
        mParts = parts;
        mRequest = request;
        mPrompt = prompt;
        mService = service;
        mWork = work;
        mCancel = cancel;
    }

    /** Decides by what the prefill engines have to do. */
    StagePolicy.Choice choice() {
        return StagePolicy.choose(
                mParts.book().estimate(need()), mRequest.route().target().toMillis());
    }

    private UpstreamBook.Need need() {
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

    /**
     * Has the prompt read by a prefill engine if there is one. What was read shortly before, and
     * was not taken, is used again.
     */
    Optional<PromptSource> read() {
        if (mSource.isPresent() && mParts.clock().nanoTime() - mReadNanos < SOURCE_NANOS) {
            return mSource;
        }
        end();
        Set<String> asked = new HashSet<>();
        while (mSource.isEmpty() && mayAsk(asked)) {
            Optional<Lease> lease = mParts.book().lease(need(), asked);
            if (lease.isEmpty()) {
                break;
            }
            asked.add(lease.get().id());
            mSource = readAt(lease.get());
        }
        return mSource;
    }

    private boolean mayAsk(Set<String> asked) {
        boolean first = mReadings == 0;
        return !mCancel.isCancelled() && asked.size() < MOST_ENGINES && (first || takeExtra());
    }

    private Optional<PromptSource> readAt(Lease lease) {
        mReadings++;
        EngineRun run = mWork.begin(EngineRun.reading(mRequest.id(), mPrompt.tokens()), lease);
        try {
            Optional<PromptSource> source = readPrompt(lease);
            mReadNanos = mParts.clock().nanoTime();
            return source;
        } finally {
            mWork.end(run);
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
            byte[] body = call.readAll(BODY_TIMEOUT, MOST_BODY_BYTES);
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
            mParts.failed(lease, e.failure(), mCancel);
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
        double nanos = PATIENCE * lease.doneMillis() * NANOS_PER_MILLI;
        long most = (long) nanos + MARGIN.toNanos();
        return Duration.ofNanos(Math.min(most, left().toNanos()));
    }

    /** Gives back a prompt that was read and that no engine has taken. */
    void end() {
        mSource.ifPresent(
                read -> {
                    HostPort address = HostPort.parse(read.address());
                    mParts.giveBack(
                            new Peer(read.address(), address.host(), address.port()),
                            mParts.protocol().freeHandle(read.handle()));
                });
        mSource = Optional.empty();
    }

    /** Notes that an engine has taken the prompt that was read. */
    void taken() {
        mSource = Optional.empty();
    }
}
