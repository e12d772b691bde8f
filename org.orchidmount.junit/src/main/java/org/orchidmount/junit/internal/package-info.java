/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The inner works of the stand-ins. */
package org.orchidmount.junit.internal;
