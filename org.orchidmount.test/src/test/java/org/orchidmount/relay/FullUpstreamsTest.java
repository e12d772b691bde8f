/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.membership.VersionConstraint;

/** Whether a request found no place because upstreams have got what they take. */
final class FullUpstreamsTest {
    private final UpstreamDirectory mUpstreams =
            new UpstreamDirectory("a", new ManualClock(), new SplittableRandom(1));

    /** Only the directory is asked here. */
    private final RelayContext mContext =
            new RelayContext(
                    mUpstreams,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null);

    private void register(String id, String service, Stage stage, State state) {
        String address = "10.0.0.1:" + (100 + id.hashCode() % 100);
        mUpstreams.update(new Registration(id, service, address, "a", 1, stage, state, 1));
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // service, stage, upstreams that are full, whether that is why
                "s, NONE, -, false",
                "s, NONE, p1, false",
                "s, NONE, p1 p2, true",
                "s, NONE, p1 p2 e1, true",
                "s, NONE, e1, false",
                "t, DECODE, e1, true",
                "t, PREFILL, e1, false",
                "nobody, NONE, p1 p2, false",
            })
    void onlyIfAllThatTakeWorkAreFull(String service, Stage stage, String names, boolean isWhy) {
        register("p1", "s", Stage.NONE, State.READY);
        register("p2", "s", Stage.NONE, State.READY);
        register("p3", "s", Stage.NONE, State.DRAINING);
        register("e1", "t", Stage.DECODE, State.READY);
        Set<String> full =
                names == null
                        ? Set.of()
                        : Arrays.stream(names.split(" ")).collect(Collectors.toSet());
        assertThat(mContext.areAllThrottled(service, stage, VersionConstraint.ANY, full))
                .isEqualTo(isWhy);
    }
}
