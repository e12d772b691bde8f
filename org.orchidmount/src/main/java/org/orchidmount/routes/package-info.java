/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The route table: which service takes a request, and under which limits. */
package org.orchidmount.routes;
