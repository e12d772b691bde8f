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
 * A place at an upstream for one attempt. Immutable.
 *
 * @param assignment the work in this instance's directory
 * @param reservation the name of the memory reserved at the upstream, if any
 * @param output the output that was announced, if any
 * @param prefill the prefill that was announced, if the same engine does it
 * @param permit the right to send the request there
 * @param prefillQueueTokens if so, the tokens of the prompt and what the engine has to prefill
 *     before; else 0
 */
record Placement(
        Assignment assignment,
        Optional<String> reservation,
        Optional<InFlightSequence> output,
        Optional<InFlightSequence> prefill,
        SendPermit permit,
        int prefillQueueTokens) {
    /** Returns a place at an upstream where nothing is reserved or announced. */
    static Placement atPlainService(Assignment assignment, SendPermit permit) {
        return new Placement(
                assignment, Optional.empty(), Optional.empty(), Optional.empty(), permit, 0);
    }

    /** Tells whether the engine of the place prefills the prompt itself. */
    boolean isUnsplit() {
        return prefill.isPresent();
    }
}
