/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** How upstreams are spoken to: model engines and plain services. */
package org.orchidmount.upstream;
