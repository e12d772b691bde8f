/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.OptionalLong;
import org.orchidmount.pacing.UpstreamLimit;

/**
 * A rate limit stated by an upstream, with its use as counted by the voter that was asked.
 * Immutable.
 *
 * @param limit the limit in force
 * @param granted the number of requests granted since this voter became leader; empty if it does
 *     not lead
 */
public record UpstreamLimitUse(UpstreamLimit limit, OptionalLong granted) {}
