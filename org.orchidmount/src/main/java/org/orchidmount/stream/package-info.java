/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Which upstreams may continue a stream, known by all instances of a site. */
package org.orchidmount.stream;
