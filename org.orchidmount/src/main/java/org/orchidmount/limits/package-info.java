/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Limits of accounts, classes, models and pools, and the retry budget. */
package org.orchidmount.limits;
