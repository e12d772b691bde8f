/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import java.util.Map;
import org.orchidmount.routing.Decision;

/**
 * What placed requests hold at engines: a running request, prefill backlog, memory, and the share
 * of the link. Each part is counted once and released once, in any order.
 *
 * <p>Not thread-safe: guarded by the board's lock, as the slots are. An engine that has left the
 * table counts no more.
 */
final class Reservations {
    private final Map<String, UpstreamSlot> mSlots;

    /**
     * Creates the book-keeping.
     *
     * @param slots the board's upstreams by name
     */
    Reservations(Map<String, UpstreamSlot> slots) {
        mSlots = slots;
    }

    /** Counts a request at both engines of its place. */
    Reservation reserve(Ticket ticket, Decision.Place place, long nowNanos) {
        UpstreamSlot prefill = mSlots.get(place.prefill());
        UpstreamSlot decode = mSlots.get(place.decode());
        int uncached = Math.max(1, ticket.info().promptTokens() - place.cachedTokens());
        Reservation reservation =
                new Reservation(
                        prefill.peer(),
                        decode.peer(),
                        uncached,
                        ticket.info().kvBytes(),
                        ticket.info().promptKvBytes());
        prefill.addRunning(1);
        prefill.addBacklogTokens(uncached);
        prefill.hints().placed(ticket.blocks().hashes(), nowNanos);
        decode.addRunning(1);
        decode.addKvBytes(ticket.info().kvBytes());
        decode.addLinkBytes(ticket.info().promptKvBytes());
        return reservation;
    }

    /** Releases the prefill part, and learns the rate of an engine that had no other prompt. */
    void prefillDone(Reservation reservation, int uncachedTokens, long durationNanos) {
        UpstreamSlot slot = mSlots.get(reservation.prefill().name());
        boolean alone = slot != null && slot.view().backlogTokens() <= reservation.uncachedTokens();
        releasePrefill(reservation);
        if (slot != null) {
            slot.succeeded();
            if (alone) {
                slot.observePrefill(uncachedTokens, durationNanos);
            }
        }
    }

    /** Releases the share of the link once the transfer has ended. */
    void transferDone(Reservation reservation) {
        releaseLink(reservation);
        UpstreamSlot slot = mSlots.get(reservation.decode().name());
        if (slot != null) {
            slot.succeeded();
        }
    }

    /** Releases all that is still held. */
    void release(Reservation reservation) {
        releasePrefill(reservation);
        releaseLink(reservation);
        UpstreamSlot slot = mSlots.get(reservation.decode().name());
        if (reservation.takeDecode() && slot != null) {
            slot.addRunning(-1);
            slot.addKvBytes(-reservation.kvBytes());
        }
    }

    private void releasePrefill(Reservation reservation) {
        UpstreamSlot slot = mSlots.get(reservation.prefill().name());
        if (reservation.takePrefill() && slot != null) {
            slot.addRunning(-1);
            slot.addBacklogTokens(-reservation.uncachedTokens());
        }
    }

    private void releaseLink(Reservation reservation) {
        UpstreamSlot slot = mSlots.get(reservation.decode().name());
        if (reservation.takeLink() && slot != null) {
            slot.addLinkBytes(-reservation.promptKvBytes());
        }
    }
}
