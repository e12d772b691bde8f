/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Limits on running requests, on rates and on retries.
 *
 * <p>Owns the counts of this instance ({@code LimitBook}, the implementations of {@code
 * RetryBudget}); a restart forgets them. Limits of the table count at each instance for itself.
 * Relies on the clock and the table's rows.
 */
package org.orchidmount.limits;
