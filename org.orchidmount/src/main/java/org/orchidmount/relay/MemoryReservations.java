/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.client.ClientResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.upstream.CancelSignal;

/** Reserves memory at engines for one request, and releases it. Confined to one virtual thread. */
final class MemoryReservations {
    private static final PartLog LOG = PartLog.of("engine");

    /**
     * Time for which an engine keeps reserved memory that is not used; longer than a prefill takes.
     */
    private static final Duration RESERVATION_TTL = Duration.ofMillis(1_800);

    /**
     * Timeout of a reservation call. Engines answer these at once, so one that does not is given
     * up.
     */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);

    private final RelayContext mContext;
    private final String mRequestId;
    private final CancelSignal mCancel;
    private final RequestProgress mProgress;

    MemoryReservations(
            RelayContext context, String requestId, CancelSignal cancel, RequestProgress progress) {
        mContext = context;
        mRequestId = requestId;
        mCancel = cancel;
        mProgress = progress;
    }

    /**
     * Reserves memory at an engine. Cancelling the request does not abort the call, because a
     * reservation whose id is unknown cannot be released; the call is short.
     *
     * @param assignment the work assigned to the engine
     * @param tokens the memory to reserve, in tokens
     * @return the id of the reservation; empty if the engine has no capacity or fails, or if the
     *     request was already cancelled
     */
    Optional<String> reserve(Assignment assignment, int tokens) {
        if (mCancel.isCancelled()) {
            return Optional.empty();
        }
        UpstreamProtocol protocol = mContext.protocol();
        HttpHead head = protocol.reservationHead(assignment.id());
        byte[] body = protocol.reservationBody(tokens, RESERVATION_TTL);
        mProgress.startWaiting(Activity.RESERVATION, assignment.id());
        long sentNanos = mContext.clock().nanoTime();
        try (HttpCall call =
                mContext.connections()
                        .call(assignment.peer(), Step.ADMIT, head, body, CALL_TIMEOUT)) {
            ClientResponse response = call.awaitResponse(CALL_TIMEOUT);
            call.limitIdle(protocol.idleTimeout(response));
            mContext.respondedToCall(assignment, response, sentNanos);
            byte[] responseBody = call.readAll(CALL_TIMEOUT, RelayContext.MAX_CONTROL_BYTES);
            if (!HttpStatus.isOk(response.getResponseCode())) {
                LOG.debug(
                        "%s: memory for %d tokens not reserved at %s: status %d",
                        mRequestId, tokens, assignment.id(), response.getResponseCode());
                return Optional.empty();
            }
            return Optional.of(protocol.parseReservation(responseBody));
        } catch (CallFailedException e) {
            mContext.callFailed(assignment, e.failure(), mCancel);
        } catch (IOException e) {
            LOG.info(
                    "%s: cannot parse the reservation response of %s: %s",
                    mRequestId, assignment.id(), e.getMessage());
            mContext.upstreams().failed(assignment);
        }
        return Optional.empty();
    }

    /**
     * Releases the memory of a placement that the request did not use. If the engine has restarted,
     * the reservation is lost and its id may now be that of another one, so nothing is sent.
     */
    void release(Placement placement) {
        if (placement.assignment().hasRestarted()) {
            return;
        }
        placement
                .reservation()
                .ifPresent(
                        name ->
                                mContext.release(
                                        placement.assignment(),
                                        mContext.protocol().releaseHead(name)));
    }
}
