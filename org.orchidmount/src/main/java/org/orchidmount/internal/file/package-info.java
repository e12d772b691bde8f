/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Files that last: checksummed, synced logs. */
package org.orchidmount.internal.file;
