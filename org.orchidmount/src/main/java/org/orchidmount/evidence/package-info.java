/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What the entries of a site know together about upstreams: failures, and the speed of each engine.
 *
 * <p>Each entry reports what it has observed; voters merge the reports and send digests to the
 * entries of their availability zone; every entry decides by itself from the digests. All state is
 * in memory, bounded, and ends with the incarnation of the upstream.
 */
package org.orchidmount.evidence;
