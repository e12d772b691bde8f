/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Rate limits that all instances share: how much a key may use in any window, summed over all
 * instances.
 *
 * <p>{@code QuotaOwner} holds the buckets, at the one instance that holds the lease. {@code
 * QuotaReserve} decides what the other voters may grant while the lease holder does not answer. A
 * key is an arbitrary name; this package does not depend on accounts, messages or connections.
 * Callers pass the time in.
 */
package org.orchidmount.quota;
