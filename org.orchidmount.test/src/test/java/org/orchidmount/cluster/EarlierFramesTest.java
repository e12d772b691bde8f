/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.Pin;

/**
 * The frames that earlier landings send, as the code of each wrote them, are read: builds run side
 * by side during an upgrade. Stored state has not changed since the first of them (pin {@code
 * replica-state.hex}).
 */
final class EarlierFramesTest {
    @ParameterizedTest
    @CsvSource({
        "719d22b, 16",
        "0681d09, 20",
        "96e0247, 22",
        "7373056, 24",
        "6bbd7d4, 26",
        "14ed39d, 30",
        "673a8f9, 33",
        "e892dd9, 38"
    })
    void areReadAsWhatTheyAre(String landing, int count) throws Exception {
        List<String> frames = Pin.read("earlier/cluster-frames-" + landing + ".hex");
        assertThat(frames).hasSize(count);
        Map<Byte, Class<?>> types = typesOfToday();
        for (String frame : frames) {
            byte[] bytes = HexFormat.of().parseHex(frame);
            assertWithMessage("frame %s of %s", frame, landing)
                    .that(ClusterCodec.decode(bytes))
                    .isInstanceOf(types.get(bytes[0]));
        }
    }

    private static Map<Byte, Class<?>> typesOfToday() throws Exception {
        Map<Byte, Class<?>> types = new HashMap<>();
        for (String frame : Pin.read("cluster-frames.hex")) {
            byte[] bytes = HexFormat.of().parseHex(frame);
            types.put(bytes[0], ClusterCodec.decode(bytes).getClass());
        }
        return types;
    }
}
