/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** What the subcommands share. */
package org.orchidmount.pgm.internal;
