/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Pure decision logic: which engines take a request, when it waits and when it is refused. */
package org.orchidmount.routing;
