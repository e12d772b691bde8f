/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

/**
 * What the head of a response states about the upstream, in addition to the response itself.
 * Immutable.
 *
 * @param limit rate limit of the upstream for all instances together
 * @param pause pause that the upstream requests of this instance
 * @param isLeaving whether the upstream is about to leave
 */
public record UpstreamStatement(LimitStatement limit, PauseStatement pause, boolean isLeaving) {}
