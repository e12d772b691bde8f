/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The daemon that runs on every entry instance. */
package org.orchidmount.daemon;
