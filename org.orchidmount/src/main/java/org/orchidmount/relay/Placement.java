/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.Optional;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.pacing.SendPermit;

/**
 * The upstream chosen for one attempt, with what is reserved and announced there. Immutable.
 *
 * @param assignment the work as recorded in this instance's directory
 * @param reservation the id of the memory reservation at the upstream, if any
 * @param output the announced output sequence, if any
 * @param prefill the announced prefill sequence, if the same engine prefills the prompt
 * @param permit the permit to send the request to the upstream
 * @param prefillQueueTokens the tokens of the prompt and of the prefills queued before it, if the
 *     same engine prefills the prompt; otherwise 0
 */
record Placement(
        Assignment assignment,
        Optional<String> reservation,
        Optional<InFlightSequence> output,
        Optional<InFlightSequence> prefill,
        SendPermit permit,
        int prefillQueueTokens) {
    /** Creates a placement at an upstream where nothing is reserved or announced. */
    static Placement withoutReservation(Assignment assignment, SendPermit permit) {
        return new Placement(
                assignment, Optional.empty(), Optional.empty(), Optional.empty(), permit, 0);
    }

    /** Returns whether the engine prefills the prompt itself. */
    boolean isUnsplit() {
        return prefill.isPresent();
    }
}
