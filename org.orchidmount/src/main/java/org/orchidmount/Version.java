/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount;

/** The version of the product. */
public final class Version {
    /** The version, as in the build. */
    public static final String TEXT = "0.1.0-SNAPSHOT";

    private Version() {}
}
