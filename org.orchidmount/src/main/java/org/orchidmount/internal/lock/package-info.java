/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Locks whose order is stated once and checked while running. */
package org.orchidmount.internal.lock;
