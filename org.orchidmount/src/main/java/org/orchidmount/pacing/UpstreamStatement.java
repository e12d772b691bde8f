/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

/**
 * What the head of a response states of the upstream that responds, besides what it answers.
 * Immutable.
 *
 * @param limit the requests that the upstream takes from all instances together
 * @param pause when it takes work of this instance again
 * @param isLeaving whether it leaves
 */
public record UpstreamStatement(LimitStatement limit, PauseStatement pause, boolean isLeaving) {}
