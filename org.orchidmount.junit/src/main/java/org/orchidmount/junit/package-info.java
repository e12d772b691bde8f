/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Stand-ins for what the product meets: engines, plain services, networks; and a test cluster. */
package org.orchidmount.junit;
