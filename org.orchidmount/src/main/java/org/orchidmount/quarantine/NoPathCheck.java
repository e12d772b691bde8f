/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import org.orchidmount.internal.http.Peer;

/** Attributes what fails from here to the upstream. Stateless. */
final class NoPathCheck implements PathCheck {
    @Override
    public boolean isLostFromHere(Peer peer) {
        return false;
    }

    @Override
    public boolean hasEndedForOthers(Peer peer) {
        return false;
    }
}
