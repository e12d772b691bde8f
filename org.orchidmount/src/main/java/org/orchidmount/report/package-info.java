/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * The request log: one line per finished request.
 *
 * <p>Defines how this line ({@code RequestReport}) is written and parsed: {@code relay} writes it,
 * the {@code explain} command of the command-line tool parses it. Depends on no other package.
 */
package org.orchidmount.report;
