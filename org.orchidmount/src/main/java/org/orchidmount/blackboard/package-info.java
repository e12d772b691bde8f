/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Shared state that controllers read and write: upstreams, reservations, queue, requests. */
package org.orchidmount.blackboard;
