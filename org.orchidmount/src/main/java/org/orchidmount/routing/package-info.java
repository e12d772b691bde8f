/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Rules that choose, admit, place, retry or give up, each in a class of its own with its inputs,
 * units and rationale. {@code docs/DECISIONS.md} maps each question to its class.
 *
 * <p>Pure: no I/O, no threads, no clock; times are passed in as monotonic nanoseconds. Only {@code
 * ClientRetryDetector}, {@code EngineSpeedEstimator} and {@code OutputLengthEstimator} keep
 * observations; {@code ClientRetryDetector} also reads a clock.
 *
 * <p>There are two families. The rules for upstreams that register themselves ({@code
 * UpstreamCost}, {@code UpstreamHealth}, {@code PrefillRule}, {@code MemoryRule}, {@code
 * AttemptRule} and more) are applied by {@code relay}. The rules for engines of the table ({@code
 * Policy} with {@code JointPolicy} and two baselines) are applied by {@code controller} and the
 * daemon module.
 */
package org.orchidmount.routing;
