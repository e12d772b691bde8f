/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import org.orchidmount.consensus.Member;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.State;

/**
 * Tells which of the records that other instances send can be used. One that cannot would fail
 * later, with each request or message that uses it. Stateless and thread-safe.
 */
final class PeerRecords {

    private PeerRecords() {}

    /** Tells whether an upstream can be called as it is registered, or is said to have left. */
    static boolean isUsable(Registration registration) {
        if (registration.id().isEmpty() || registration.sequence() < 0) {
            return false;
        }
        boolean isGone = registration.state() == State.GONE;
        return isGone
                || !registration.service().isEmpty()
                        && registration.slots() >= 1
                        && isAddress(registration.address());
    }

    /** Tells whether a forecast of memory can count a sequence. */
    static boolean isUsable(InFlightSequence sequence) {
        return sequence.promptTokens() >= 0
                && sequence.expectedTokens() >= 0
                && sequence.maxOutputTokens() >= 0
                && sequence.generatedTokens() >= 0;
    }

    /** Tells whether a voter can be linked. */
    static boolean isUsable(Member member) {
        return !member.id().isEmpty() && isAddress(member.address());
    }

    /**
     * Requires that the sender of a message can be linked.
     *
     * @return the sender
     * @throws IOException if not
     */
    static Member requireUsable(Member sender) throws IOException {
        if (!isUsable(sender)) {
            throw new IOException("a frame of a voter at no address: " + sender);
        }
        return sender;
    }

    private static boolean isAddress(String text) {
        try {
            int port = HostPort.parse(text).port();
            return port >= 1 && port <= HostPort.MAX_PORT;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
