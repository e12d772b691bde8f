/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Logs with a fixed prefix for each part. */
package org.orchidmount.internal.log;
