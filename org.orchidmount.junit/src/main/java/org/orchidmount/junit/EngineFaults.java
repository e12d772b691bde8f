/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

/**
 * The faults a fake engine shows. Immutable; replaced as a whole.
 *
 * @param crossPercent stream messages preceded by one of another request
 * @param duplicatePercent stream messages sent twice
 * @param latePercent stream messages preceded by one of a request that has ended
 * @param skipPercent stream messages left out, so that the next one leaves a gap
 * @param cutPercent stream messages after which the connection is closed
 * @param endCutPercent answers whose connection is closed after the last token, before the stream's
 *     end
 * @param rejectPercent new requests answered with 503
 * @param stallTransfers true to let imports of KV cache hang
 * @param slowFactor multiplies the time of all work
 */
public record EngineFaults(
        int crossPercent,
        int duplicatePercent,
        int latePercent,
        int skipPercent,
        int cutPercent,
        int endCutPercent,
        int rejectPercent,
        boolean stallTransfers,
        double slowFactor) {
    /**
     * Returns the absence of faults.
     *
     * @return no faults
     */
    public static EngineFaults none() {
        return new EngineFaults(0, 0, 0, 0, 0, 0, 0, false, 1);
    }
}
