/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

/** Carries a refusal from where a request is checked to where it is answered. */
final class RefusedException extends Exception {
    private final transient Refusal mRefusal;

    RefusedException(Refusal refusal) {
        super(refusal.message());
        mRefusal = refusal;
    }

    Refusal refusal() {
        return mRefusal;
    }
}
