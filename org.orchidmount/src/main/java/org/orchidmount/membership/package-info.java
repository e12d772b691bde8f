/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Upstreams that register themselves, and how their registrations merge between instances. */
package org.orchidmount.membership;
