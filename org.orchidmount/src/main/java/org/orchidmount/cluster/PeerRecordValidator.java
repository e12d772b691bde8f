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
 * Validates records received from other instances. An unusable record is rejected on receipt, since
 * it would fail later with every request or message that uses it. Stateless and thread-safe.
 */
final class PeerRecordValidator {

    private PeerRecordValidator() {}

    /**
     * Returns whether a registration can be used: the upstream has left, or can be called as
     * registered.
     */
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

    /** Returns whether the memory forecast can account for a sequence. */
    static boolean isUsable(InFlightSequence sequence) {
        return sequence.promptTokens() >= 0
                && sequence.expectedTokens() >= 0
                && sequence.maxOutputTokens() >= 0
                && sequence.generatedTokens() >= 0;
    }

    /** Returns whether a member has an identity and an address that can be dialled. */
    static boolean isUsable(Member member) {
        return !member.id().isEmpty() && isAddress(member.address());
    }

    /**
     * Checks that the sender of a message has a usable address.
     *
     * @return the sender
     * @throws IOException if it has none
     */
    static Member requireUsable(Member sender) throws IOException {
        if (!isUsable(sender)) {
            throw new IOException(
                    "malformed frame: sender without a usable identity or address: " + sender);
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
