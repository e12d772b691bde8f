/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Failures as values: each names the step and the peer at which it arose. */
package org.orchidmount.errors;
