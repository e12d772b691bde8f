/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.stream;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;

/** Tests {@code StreamRegistry}. */
final class StreamRegistryTest {
    private static final StreamKey KEY = StreamKey.of("id-1");
    private static final Duration LIFETIME = Duration.ofSeconds(10);

    private final ManualClock mClock = new ManualClock();
    private final StreamRegistry mStreams = new StreamRegistry(mClock);

    private void add(String service, String version) {
        mStreams.add(new StreamRecord(KEY, new StreamOrigin(service, version), LIFETIME));
    }

    /** Guards against a version that is chosen where instances have told two. */
    @ParameterizedTest
    @CsvSource({"s, v1, true", "s, v2, false", "t, v1, false"})
    void aStreamThatWasToldWithTwoOriginsHasNone(String service, String version, boolean isKnown) {
        add("s", "v1");
        add(service, version);
        assertThat(mStreams.find(KEY).isPresent()).isEqualTo(isKnown);
        add("s", "v1");
        assertThat(mStreams.find(KEY).isPresent()).isEqualTo(isKnown);
    }

    /** Guards against records that are held for ever, or that others get with a longer life. */
    @Test
    void aRecordEndsWithItsLifetime() {
        add("s", "v1");
        mClock.advance(Duration.ofSeconds(4));
        assertThat(mStreams.find(KEY).get().lifetime()).isEqualTo(Duration.ofSeconds(6));
        mClock.advance(Duration.ofSeconds(6));
        assertThat(mStreams.find(KEY)).isEmpty();
        mStreams.removeExpired();
        assertThat(mStreams.all()).isEmpty();
    }
}
