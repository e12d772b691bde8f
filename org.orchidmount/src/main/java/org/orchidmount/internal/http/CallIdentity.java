/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.util.Optional;
import org.orchidmount.errors.Step;

/** Tells whether a response is that of its call, by the identities of both. Stateless. */
final class CallIdentity {
    /** Stands in a log line where a call or a response has no identity. */
    private static final String NO_IDENTITY = "none";

    /** Format of what {@link #describe} returns; formatted only if the line is logged. */
    static final String DESCRIPTION = "%s to %s: %s sent as %s, response %d of %s";

    private CallIdentity() {}

    /**
     * An upstream may answer twice, the second time late, in the place of the next response. So the
     * place proves nothing: where the call or the response has no identity, a response is that of
     * the call on a new connection only, where there was no call before.
     */
    static boolean isForeign(Optional<String> sent, Optional<String> received, boolean isFirst) {
        boolean isUnknown = sent.isEmpty() || received.isEmpty();
        return isUnknown ? !isFirst : !received.equals(sent);
    }

    /** Names the connection, its use, and whose response this is. */
    static Object[] describe(
            PooledConnection connection,
            Peer peer,
            Step step,
            Optional<String> sent,
            int status,
            Optional<String> received) {
        return new Object[] {
            connection,
            peer.name(),
            step.label(),
            sent.orElse(NO_IDENTITY),
            status,
            received.orElse(NO_IDENTITY)
        };
    }
}
