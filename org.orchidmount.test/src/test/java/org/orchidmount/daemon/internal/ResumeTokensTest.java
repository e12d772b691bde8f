/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link ResumeTokens}. */
class ResumeTokensTest {
    private static final ResumeTokens.Resumable SOURCE =
            new ResumeTokens.Resumable("decode-1", "r-d1", "mill", "r", 7);
    private static final byte[] KEY = ResumeTokens.key("a key of at least thirty-two bytes");

    private Instant mNow = Instant.parse("2026-12-02T00:00:00Z");

    private ResumeTokens tokens(byte[] key) {
        return new ResumeTokens(key, Duration.ofSeconds(60), () -> mNow);
    }

    @Test
    void anyInstanceWithTheKeyAcceptsItUntilItRunsOut() {
        String token = tokens(KEY).sign(SOURCE);
        assertThat(tokens(KEY).check(token)).hasValue(SOURCE);
        assertThat(tokens(ResumeTokens.key("another key of thirty-two bytes..")).check(token))
                .isEmpty();
        mNow = mNow.plusSeconds(61);
        assertThat(tokens(KEY).check(token)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", ".", "x", "x.y.z", "e30.AAAA", "ä.ö"})
    void garbageIsRefused(String token) {
        assertThat(tokens(KEY).check(token)).isEmpty();
    }

    @Test
    void anyChangedByteIsRefused() {
        String token = tokens(KEY).sign(SOURCE);
        for (int i = 0; i < token.length(); i += 5) {
            char changed = token.charAt(i) == 'A' ? 'B' : 'A';
            String forged = token.substring(0, i) + changed + token.substring(i + 1);
            assertThat(tokens(KEY).check(forged)).isEmpty();
        }
    }
}
