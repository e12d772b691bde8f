/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/** Whether an upstream takes new work. */
public enum UpstreamMode {
    /** Takes new work. */
    ACTIVE,
    /** Finishes what it has and takes nothing new. */
    DRAINING
}
