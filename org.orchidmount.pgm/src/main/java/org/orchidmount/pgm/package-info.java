/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The command-line tool: one class for each subcommand. */
package org.orchidmount.pgm;
