/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Implementations behind the claim interface. */
package org.orchidmount.internal.claims;
