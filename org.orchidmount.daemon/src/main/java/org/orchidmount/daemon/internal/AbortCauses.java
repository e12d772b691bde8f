/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import org.orchidmount.errors.Failure;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.routing.Decision;
import org.orchidmount.upstream.CancelSignal;

/** Tells why a response that has begun is given up. Stateless and thread-safe. */
final class AbortCauses {
    private AbortCauses() {}

    /** The cause if the last attempt failed and there is no other. */
    static AbortCause of(Failure failure) {
        return switch (failure) {
            case Failure.TimedOut _ -> AbortCause.TIMED_OUT;
            case Failure.Superseded _ -> AbortCause.TAKEN_OVER;
            default -> AbortCause.UPSTREAM_FAILED;
        };
    }

    /** The cause if a call failed, which may have been cancelled. */
    static AbortCause of(Failure failure, CancelSignal cancel) {
        boolean isStopping = cancel.reason() == CancelSignal.Reason.INSTANCE_STOPPING;
        return isStopping ? AbortCause.INSTANCE_STOPS : of(failure);
    }

    /** The cause if an answer that moves from one engine to another is not admitted again. */
    static AbortCause of(Decision.RefuseReason reason) {
        return switch (reason) {
            case STOPPING -> AbortCause.INSTANCE_STOPS;
            case TOO_LATE, WAITED_TOO_LONG -> AbortCause.TIMED_OUT;
            case QUEUE_FULL, RATE_LIMIT, TOO_LARGE -> AbortCause.UPSTREAM_FAILED;
        };
    }
}
