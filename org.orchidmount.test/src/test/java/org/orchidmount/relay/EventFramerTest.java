/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@code EventFramer}. */
final class EventFramerTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\ndata: c\n\nid: 3\ndata: unfinished\n";

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 100})
    void wholeEventsComeByteForByteHoweverTheyAreCut(int size) {
        EventFramer framer = new EventFramer();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        List<Long> ids = new ArrayList<>();
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        for (int from = 0; from < bytes.length; from += size) {
            byte[] part = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + size));
            for (EventFramer.Event event : framer.feed(part)) {
                ids.add(event.id());
                passed.writeBytes(event.bytes());
            }
        }
        assertThat(ids).containsExactly(1L, 2L, 2L).inOrder();
        assertThat(passed.toString(StandardCharsets.UTF_8))
                .isEqualTo(STREAM.substring(0, STREAM.indexOf("id: 3")));
        assertThat(framer.isAtEventBoundary()).isFalse();
    }
}
