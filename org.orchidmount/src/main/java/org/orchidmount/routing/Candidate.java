/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * An upstream that could take the request.
 *
 * @param upstream the upstream
 * @param cachedTokens the prompt tokens it is expected to hold in its prefix cache, as a hint
 */
public record Candidate(UpstreamView upstream, int cachedTokens) {}
