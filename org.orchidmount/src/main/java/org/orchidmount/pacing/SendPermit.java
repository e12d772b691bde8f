/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.util.Optional;
import org.orchidmount.quota.QuotaAsk;

/**
 * Whether one request may be sent to an upstream now. Immutable.
 *
 * @param isGranted whether it may be sent
 * @param owed what the owner counts for it, to be given back if nothing is sent
 */
public record SendPermit(boolean isGranted, Optional<QuotaAsk> owed) {
    /** The request may be sent; nobody counts it. */
    public static final SendPermit FREE = new SendPermit(true, Optional.empty());

    /** The request may not be sent now. */
    public static final SendPermit REFUSED = new SendPermit(false, Optional.empty());

    static SendPermit counted(QuotaAsk ask) {
        return new SendPermit(true, Optional.of(ask));
    }
}
