/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import org.orchidmount.internal.http.ConnectionPath;

/**
 * Decides whether an instance has lost its own paths to the upstreams.
 *
 * <p>A connection that fails tells nothing of whose fault that is. That several upstreams fail from
 * here, and that another instance connects to one of them at the same time, tells that it is the
 * path from here. Stateless.
 */
public final class PathRule {
    /** Upstreams that fail before the path is in doubt, if so many are known. */
    private static final int FAILURES_TO_DOUBT = 2;

    /** Upstreams that must be reached again, if so many are tried. */
    private static final int SUCCESSES_TO_RECOVER = 2;

    private PathRule() {}

    /**
     * Returns whether it should be verified that upstreams can be reached directly.
     *
     * @param failing number of upstreams to which a direct connection failed since one succeeded
     * @param known number of upstreams known, up to at least two
     * @return true if the failures may have a common cause
     */
    public static boolean isInDoubt(int failing, int known) {
        return failing > 0 && failing >= Math.min(FAILURES_TO_DOUBT, known);
    }

    /**
     * Decides by connection attempts to a sample of the upstreams, all made at about the same time.
     *
     * @param connected number of direct attempts that succeeded
     * @param tunnelled number of attempts through other instances that succeeded
     * @return the path to use
     */
    public static ConnectionPath verdict(int connected, int tunnelled) {
        if (connected > 0) {
            return ConnectionPath.DIRECT;
        }
        return tunnelled > 0 ? ConnectionPath.TUNNEL : ConnectionPath.NONE;
    }

    /**
     * Returns whether the direct path is back. More successes are required than for {@link
     * #verdict}, so that a path of which little is left is not taken up again.
     *
     * @param tried number of upstreams tried
     * @param connected number of direct attempts that succeeded
     * @return true if new connections should be direct again
     */
    public static boolean isRecovered(int tried, int connected) {
        return connected > 0 && connected >= Math.min(SUCCESSES_TO_RECOVER, tried);
    }
}
