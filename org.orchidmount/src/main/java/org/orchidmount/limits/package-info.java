/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Limits on concurrent requests, rates and retries.
 *
 * <p>The counts of this instance ({@code LocalLimits} and the implementations of {@code
 * RetryBudget}) are kept in memory and are lost on a restart. Limits of the table apply to each
 * instance separately. Depends on the clock and the rows of the table.
 */
package org.orchidmount.limits;
