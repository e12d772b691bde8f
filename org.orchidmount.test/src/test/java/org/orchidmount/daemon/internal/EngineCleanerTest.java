/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.errors.Attempt;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.junit.Await;
import org.orchidmount.upstream.EngineClient;

/** Tests {@link EngineCleaner}. */
class EngineCleanerTest {
    private static final Peer ENGINE = new Peer("e", "127.0.0.1", 1);

    /** The engine is out of reach, then does not know the request yet, then drops it. */
    @ParameterizedTest
    @CsvSource({"0, 0, 1", "40, 0, 41", "0, 2, 3", "40, 2, 43"})
    void goesOnUntilTheEngineConfirms(int unreachable, int unknown, int expectedCalls) {
        AtomicInteger calls = new AtomicInteger();
        EngineClient engines =
                client(
                        () -> {
                            int call = calls.incrementAndGet();
                            if (call <= unreachable) {
                                return new Attempt.Failed<Boolean>(
                                        new Failure.Unreachable(Step.CANCEL, "e", "refused"));
                            }
                            return new Attempt.Done<>(call > unreachable + unknown);
                        });
        try (EngineCleaner cleaner =
                new EngineCleaner(engines, Duration.ofMillis(1), Duration.ofMillis(2))) {
            cleaner.clean(ENGINE, "r");
            Await.until("confirmed", Await.LONG, () -> calls.get() == expectedCalls);
        }
        assertThat(calls.get()).isEqualTo(expectedCalls);
    }

    private static EngineClient client(Cancel cancel) {
        return (EngineClient)
                Proxy.newProxyInstance(
                        EngineClient.class.getClassLoader(),
                        new Class<?>[] {EngineClient.class},
                        (proxy, method, arguments) -> {
                            assertThat(method.getName()).isEqualTo("cancel");
                            return cancel.call();
                        });
    }

    private interface Cancel {
        Attempt<Boolean> call();
    }
}
