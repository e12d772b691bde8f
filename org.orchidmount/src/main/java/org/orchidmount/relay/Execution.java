/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

/** Whether a request that has ended was run by an upstream. */
public enum Execution {
    /** No upstream has run it, and none will. */
    NOT_RUN,
    /** An upstream has run it, or may have. */
    MAY_HAVE_RUN
}
