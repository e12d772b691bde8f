/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** JSON helpers over Jackson. */
package org.orchidmount.internal.json;
