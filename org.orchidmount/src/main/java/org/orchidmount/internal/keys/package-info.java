/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Keys of client accounts. They are kept as hashes only, so that no log or dump can show one. */
package org.orchidmount.internal.keys;
