/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.util.List;

/**
 * The parts of one prompt that other prompts may share, as suspects. The last part of a prompt is
 * its own and never among them. Immutable; thread-safe.
 */
public final class PromptParts {
    /** More parts than prompts have; further ones are not looked at. */
    private static final int MAX_PARTS = 32;

    private final PartHistory mHistory;
    private final String mRoute;
    private final List<RequestFingerprint> mParts;

    /**
     * Creates the parts of a prompt and records that it was received.
     *
     * @param history what is known in favour of parts
     * @param route name of the route
     * @param service service that runs the request
     * @param ids ids of the shared parts, in their order
     */
    public PromptParts(PartHistory history, String route, String service, List<String> ids) {
        mHistory = history;
        mRoute = route;
        mParts =
                ids.stream()
                        .limit(MAX_PARTS)
                        .distinct()
                        .map(id -> RequestFingerprint.ofPart(service, id))
                        .toList();
        if (!mParts.isEmpty()) {
            history.received(route, mParts);
        }
    }

    List<RequestFingerprint> all() {
        return mParts;
    }

    boolean maySuspect(RequestFingerprint part) {
        return mHistory.maySuspect(mRoute, part);
    }

    /** Records that an engine has written an answer to the prompt. */
    void proven() {
        mHistory.proven(mParts);
    }
}
