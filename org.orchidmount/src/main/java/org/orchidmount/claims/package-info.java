/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Claims that let a not-repeatable request run at most once. */
package org.orchidmount.claims;
