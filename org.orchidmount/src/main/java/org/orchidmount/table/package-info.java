/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The operators' table: typed rows, atomic changes and their audit trail. */
package org.orchidmount.table;
