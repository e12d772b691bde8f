/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

/** Accepts any number of bytes. */
final class UnlimitedBytes implements UnreadBytes {
    @Override
    public boolean add(int bytes, boolean isComplete) {
        return true;
    }

    @Override
    public void remove(int bytes) {}

    @Override
    public void stalled() {}

    @Override
    public void close() {}
}
