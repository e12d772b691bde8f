/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Rate limits that upstreams state in their responses: how many requests per second they accept
 * from all instances together.
 *
 * <p>{@code UpstreamLimits} holds the known limits, and {@code UpstreamThrottle} decides whether a
 * request may be sent now. This package does not depend on header fields, connections or the
 * selection of upstreams.
 */
package org.orchidmount.pacing;
