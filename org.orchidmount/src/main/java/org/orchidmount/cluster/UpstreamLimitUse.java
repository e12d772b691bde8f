/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.OptionalLong;
import org.orchidmount.pacing.UpstreamLimit;

/**
 * A limit that an upstream states, and what the voter that was asked has counted of it. Immutable.
 *
 * @param limit the limit, in force
 * @param granted requests granted since this voter leads; nothing if another one counts
 */
public record UpstreamLimitUse(UpstreamLimit limit, OptionalLong granted) {}
