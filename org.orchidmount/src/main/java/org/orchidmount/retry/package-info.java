/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * The limit on retries that all instances share: how often requests for a service may arrive at its
 * upstreams again in any window, summed over all instances.
 *
 * <p>{@code RetryOwner} grants retries, at the one voter that holds the lease. It knows the
 * requests that entries report ({@code RetryCredit}) and what it has granted ({@code RetryLedger}).
 * {@code ServiceRetries} asks it on behalf of an entry, and makes do with the entry's own requests
 * while no owner answers. {@code ArrivalHistory} is the only place that defines what counts as a
 * retry.
 *
 * <p>A request earns a fraction of a retry, which expires shortly after the request. The retries of
 * a window are thus covered by the requests of about the same window, whichever instances were
 * started or lost meanwhile, and no state has to survive them. The slack of the limit is not
 * covered by requests; only an owner that has held its lease for longer than a window grants it.
 */
package org.orchidmount.retry;
