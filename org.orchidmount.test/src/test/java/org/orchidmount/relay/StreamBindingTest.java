/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.SampleRoutes;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.routes.Service;
import org.orchidmount.stream.StreamOrigin;
import org.orchidmount.stream.StreamOrigins;

/** Tests {@code StreamBinding}. */
final class StreamBindingTest {
    private static final Duration TIME = Duration.ofSeconds(10);

    private final ManualClock mClock = new ManualClock();
    private Optional<StreamOrigin> mBegun = Optional.empty();

    /** Origins of which one stream is known. */
    private final class Origins implements StreamOrigins {
        private final boolean mKnowsAllUpstreams;

        private Origins(boolean knowsAllUpstreams) {
            mKnowsAllUpstreams = knowsAllUpstreams;
        }

        @Override
        public void begun(String requestId, StreamOrigin origin, Duration lifetime) {
            mBegun = Optional.of(origin);
        }

        @Override
        public Optional<StreamOrigin> find(String requestId) {
            return switch (requestId) {
                case "known" -> Optional.of(new StreamOrigin("s", "v1"));
                case "elsewhere" -> Optional.of(new StreamOrigin("t", "v1"));
                default -> Optional.empty();
            };
        }

        @Override
        public boolean knowsAllUpstreams() {
            return mKnowsAllUpstreams;
        }
    }

    private StreamBinding binding(
            long lastEventId, String named, String onlyVersion, boolean knowsAllUpstreams) {
        RelayRequest.Prompt prompt =
                new RelayRequest.Prompt(
                        10, 0, 0, lastEventId, Optional.ofNullable(named), List.of());
        RelayRequest request =
                new RelayRequest(
                        "id-1",
                        SampleRoutes.stream(true, TIME, TIME, 1, "s"),
                        Optional.empty(),
                        Methods.POST,
                        "/x",
                        new HeaderMap(),
                        new byte[0],
                        TIME.toNanos(),
                        TIME.toNanos(),
                        Optional.of(prompt));
        return new StreamBinding(
                new Origins(knowsAllUpstreams),
                request,
                new Service("s", Optional.empty()),
                () -> Optional.ofNullable(onlyVersion),
                mClock);
    }

    private static Registration engine(String version) {
        return new Registration(
                        "i-" + version, "s", "10.0.0.1:80", "a", 4, Stage.DECODE, State.READY, 1)
                .withVersion(Optional.of(version));
    }

    /** Guards against a guess, and against a refusal where there is nothing to choose. */
    @ParameterizedTest
    @CsvSource({
        "0, , , true, NONE, true, true",
        "3, known, , false, CONTINUED, true, false",
        "3, unknown, v1, true, UNKNOWN, false, false",
        "3, elsewhere, v1, true, CONTINUED, false, false",
        "3, , v1, true, ONLY_VERSION, true, false",
        "3, , v1, false, UNKNOWN, false, false",
        "3, , , true, UNKNOWN, false, false"
    })
    void aContinuationIsBoundToWhatIsKnown(
            long lastEventId,
            String named,
            String onlyVersion,
            boolean knowsAllUpstreams,
            StreamBinding.Cause cause,
            boolean permitsV1,
            boolean permitsV2)
            throws InterruptedException {
        StreamBinding binding = binding(lastEventId, named, onlyVersion, knowsAllUpstreams);
        binding.bindContinuation();
        assertThat(binding.cause()).isEqualTo(cause);
        assertThat(binding.constraint().permits(engine("v1"))).isEqualTo(permitsV1);
        assertThat(binding.constraint().permits(engine("v2"))).isEqualTo(permitsV2);
    }

    /** Guards against a second version that a later attempt of an answer is bound to. */
    @Test
    void theFirstEventBindsOnce() {
        StreamBinding binding = binding(0, null, null, true);
        binding.bindToFirstEvent(engine("v1"));
        binding.bindToFirstEvent(engine("v2"));
        assertThat(binding.cause()).isEqualTo(StreamBinding.Cause.FIRST_EVENT);
        assertThat(binding.constraint().permits(engine("v2"))).isFalse();
        assertThat(mBegun).hasValue(new StreamOrigin("s", "v1"));
    }
}
