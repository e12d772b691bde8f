/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The requests that wait for memory of decode engines at all entries of a site, their order, and
 * the time at which each finds room.
 *
 * <p>Each entry announces its waiting requests to the others and applies the same rules to the same
 * list. There is no owner that could be lost: without announcements an entry searches for room by
 * itself.
 */
package org.orchidmount.waiting;
