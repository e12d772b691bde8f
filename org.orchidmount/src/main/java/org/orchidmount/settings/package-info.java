/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Settings of an instance, read from JSON with comments and checked as a whole. */
package org.orchidmount.settings;
