/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The demo, and the load and experiment tool. */
package org.orchidmount.bench;
