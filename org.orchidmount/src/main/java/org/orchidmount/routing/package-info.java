/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Every rule that chooses, admits, places, retries or gives up, each in a class of its own with its
 * inputs, units and reason. {@code docs/DECISIONS.md} leads from a question to its class.
 *
 * <p>Pure: no I/O, no thread, no clock; times are passed in as monotonic nanoseconds. Only {@code
 * ClientRetryDetector} and {@code OutputLengthEstimator} remember what they have seen.
 *
 * <p>Two families: for upstreams that register themselves ({@code UpstreamCost}, {@code
 * UpstreamHealth}, {@code PrefillRule}, {@code MemoryRule}, {@code AttemptRule} and more), carried
 * out by {@code relay}; and for engines of the table ({@code Policy} with {@code JointPolicy} and
 * two baselines), carried out by {@code controller} and the daemon module.
 */
package org.orchidmount.routing;
