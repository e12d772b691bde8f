/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.orchidmount.load.InFlightSequence;

/** The sequences placed by an entry. Confined to the entry's thread. */
final class OwnSequences {
    private final Map<String, OwnSequence> mSequences = new HashMap<>();

    /** A sequence with its current progress. */
    private record OwnSequence(InFlightSequence sequence, IntSupplier generatedTokens) {
        InFlightSequence now() {
            return sequence.withGenerated(generatedTokens.getAsInt());
        }
    }

    void begin(InFlightSequence sequence, IntSupplier generatedTokens) {
        mSequences.put(sequence.id(), new OwnSequence(sequence, generatedTokens));
    }

    void end(InFlightSequence sequence) {
        mSequences.remove(sequence.id());
    }

    /** Returns all sequences with their progress. */
    List<InFlightSequence> now() {
        return mSequences.values().stream().map(OwnSequence::now).toList();
    }
}
