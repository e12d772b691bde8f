/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

/**
 * The faults a fake plain service shows. Immutable; replaced as a whole.
 *
 * @param delayMillis the time a call takes
 * @param dropPercent calls that run and whose connection is then closed without an answer
 * @param wrongIdPercent answers that carry another request's id
 */
public record PlainFaults(long delayMillis, int dropPercent, int wrongIdPercent) {
    /**
     * Returns the absence of faults.
     *
     * @return no faults
     */
    public static PlainFaults none() {
        return new PlainFaults(0, 0, 0);
    }
}
