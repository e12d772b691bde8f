/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Registrations of upstreams, and how they are merged between instances. */
package org.orchidmount.membership;
