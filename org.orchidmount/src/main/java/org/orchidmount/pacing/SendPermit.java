/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.util.Optional;
import org.orchidmount.quota.QuotaRequest;

/**
 * Decision whether one request may be sent to an upstream now. Immutable.
 *
 * @param isGranted whether it may be sent
 * @param owed units that the owner counts for it, to be returned if nothing is sent
 */
public record SendPermit(boolean isGranted, Optional<QuotaRequest> owed) {
    /** The request may be sent; no owner counts it. */
    public static final SendPermit FREE = new SendPermit(true, Optional.empty());

    /** The request may not be sent now. */
    public static final SendPermit REFUSED = new SendPermit(false, Optional.empty());

    static SendPermit counted(QuotaRequest request) {
        return new SendPermit(true, Optional.of(request));
    }
}
