/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Implementations behind the table interfaces. */
package org.orchidmount.internal.table;
