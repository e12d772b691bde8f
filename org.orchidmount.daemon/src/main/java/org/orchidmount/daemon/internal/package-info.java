/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The fronts for callers and operators, and the path of a request. */
package org.orchidmount.daemon.internal;
