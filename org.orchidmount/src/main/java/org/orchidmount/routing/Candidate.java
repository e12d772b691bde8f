/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * An upstream that may be chosen for the request.
 *
 * @param upstream state of the upstream
 * @param cachedTokens prompt tokens that its prefix cache is expected to hold; may be wrong
 */
public record Candidate(UpstreamView upstream, int cachedTokens) {}
