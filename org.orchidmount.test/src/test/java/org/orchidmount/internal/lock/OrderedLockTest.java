/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.lock;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link OrderedLock}. */
class OrderedLockTest {
    @ParameterizedTest
    @CsvSource({
        "TABLE, BOARD, true",
        "BOARD, LIMITS, true",
        "TABLE, CONNECTIONS, true",
        "BOARD, TABLE, false",
        "LIMITS, BOARD, false",
        "BOARD, BOARD, false",
        "CONNECTIONS, REQUESTS, false"
    })
    void ranksMustRise(LockRank first, LockRank second, boolean allowed) {
        OrderedLock outer = new OrderedLock(first);
        OrderedLock inner = new OrderedLock(second);
        try (OrderedLock.Held _ = outer.hold()) {
            if (allowed) {
                inner.hold().close();
            } else {
                Assertions.assertThrows(LockOrderException.class, inner::hold);
            }
        }
        assertThat(outer.isHeld()).isFalse();
        inner.hold().close();
    }
}
