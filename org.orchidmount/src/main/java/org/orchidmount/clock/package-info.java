/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Time sources that are passed in, so that tests can set the time. */
package org.orchidmount.clock;
