/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/** Tests {@code Registration}. */
final class RegistrationTest {
    @Test
    void newerMessageCounts() {
        Registration merged = message(State.READY, 7, Stage.PREFILL).merge(ready(3));
        assertThat(merged.stage()).isEqualTo(Stage.PREFILL);
        assertThat(merged.sequence()).isEqualTo(7);
    }

    @Test
    void whatBeganToLeaveNeverComesBack() {
        Registry registry = new Registry(1_000);
        registry.merge(message(State.DRAINING, 5, Stage.DECODE), 0);
        registry.merge(ready(4), 1);
        registry.merge(ready(6), 2);
        assertThat(registry.find("i-1").get().state()).isEqualTo(State.DRAINING);
        registry.markDeparted("i-1", 3);
        registry.merge(ready(9), 4);
        assertThat(registry.find("i-1").get().state()).isEqualTo(State.GONE);
    }

    @Test
    void aLeaveThatComesFirstIsRemembered() {
        Registry registry = new Registry(1_000);
        registry.markDeparted("i-1", 0);
        registry.merge(ready(1), 1);
        assertThat(registry.find("i-1").get().state()).isEqualTo(State.GONE);
        registry.removeExpired(2_000);
        assertThat(registry.find("i-1")).isEmpty();
    }

    /** Guards against a version that is lost by a relay that does not forward it. */
    @ParameterizedTest
    @CsvSource({"1, 2", "2, 1"})
    void anIncarnationKeepsItsVersion(long stated, long unstated) {
        Registration versioned =
                message(State.READY, stated, Stage.DECODE).withVersion(Optional.of("v1"));
        Registration bare = message(State.READY, unstated, Stage.DECODE);
        assertThat(versioned.merge(bare).version()).hasValue("v1");
        assertThat(bare.merge(versioned).version()).hasValue("v1");
    }

    /** Guards against engines of another version, or of none that is known, that go on. */
    @ParameterizedTest
    @CsvSource({
        "v1, i-1, v1, i-2, true",
        "v1, i-1, v2, i-2, false",
        "v1, i-1, , i-2, false",
        ", i-1, , i-2, false",
        ", i-1, , i-1, true",
        ", i-1, v1, i-2, false"
    })
    void onlyTheVersionOfTheWriterGoesOn(
            String written, String writer, String version, String other, boolean isPermitted) {
        VersionConstraint constraint =
                VersionConstraint.writtenBy(
                        ready(writer).withVersion(Optional.ofNullable(written)));
        Registration candidate = ready(other).withVersion(Optional.ofNullable(version));
        assertThat(constraint.permits(candidate)).isEqualTo(isPermitted);
    }

    /** Times that a monotonic clock may show: it may pass the largest number. */
    @ParameterizedTest
    @ValueSource(longs = {0, Long.MAX_VALUE - 50})
    void recentAndSilentOnesAreTwoPartsOfAll(long startNanos) {
        Registry registry = new Registry(1_000);
        registry.merge(ready("i-silent"), startNanos + 10);
        registry.merge(ready("i-recent"), startNanos + 80);
        registry.merge(ready("i-now"), startNanos + 100);
        long nowNanos = startNanos + 100;
        assertThat(ids(registry.receivedBetween(nowNanos - 20, nowNanos + 1)))
                .containsExactly("i-recent", "i-now");
        assertThat(ids(registry.receivedBetween(nowNanos - 90, nowNanos - 20)))
                .containsExactly("i-silent");
        assertThat(registry.receivedBetween(nowNanos - 90, nowNanos - 90)).isEmpty();
    }

    private static List<String> ids(List<Registration> registrations) {
        return registrations.stream().map(Registration::id).toList();
    }

    private static Registration ready(String id) {
        return new Registration(id, "s", "10.0.0.1:80", "a", 8, Stage.DECODE, State.READY, 1);
    }

    /** Each field but the sequence is news. */
    @ParameterizedTest
    @CsvSource({
        "i-1, s, 10.0.0.1:80, a, 8, DECODE, READY, true",
        "i-2, s, 10.0.0.1:80, a, 8, DECODE, READY, false",
        "i-1, t, 10.0.0.1:80, a, 8, DECODE, READY, false",
        "i-1, s, 10.0.0.2:80, a, 8, DECODE, READY, false",
        "i-1, s, 10.0.0.1:80, b, 8, DECODE, READY, false",
        "i-1, s, 10.0.0.1:80, a, 9, DECODE, READY, false",
        "i-1, s, 10.0.0.1:80, a, 8, PREFILL, READY, false",
        "i-1, s, 10.0.0.1:80, a, 8, DECODE, DRAINING, false"
    })
    void saysSameComparesAllButTheSequence(
            String id,
            String service,
            String address,
            String zone,
            int slots,
            Stage stage,
            State state,
            boolean isSame) {
        Registration other = new Registration(id, service, address, zone, slots, stage, state, 99);
        assertThat(ready("i-1").equalsIgnoringSequence(other)).isEqualTo(isSame);
    }

    @Test
    void onlyNewsIsTold() {
        Registry registry = new Registry(1_000);
        assertThat(registry.merge(ready(1), 0)).isPresent();
        assertThat(registry.merge(ready(2), 1)).isEmpty();
        assertThat(registry.merge(message(State.READY, 3, Stage.PREFILL), 2)).isPresent();
    }

    @Test
    void anyOrderOfMessagesEndsAlike() {
        List<Registration> messages =
                new ArrayList<>(
                        List.of(
                                ready(1),
                                message(State.READY, 2, Stage.PREFILL),
                                message(State.DRAINING, 3, Stage.PREFILL),
                                ready(4)));
        Random random = new Random(5);
        List<Registration> ends = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            Collections.shuffle(messages, random);
            Registry registry = new Registry(1_000);
            messages.forEach(message -> registry.merge(message, 0));
            ends.add(registry.find("i-1").get());
        }
        assertThat(ends.stream().distinct().toList()).hasSize(1);
        assertThat(ends.getFirst().state()).isEqualTo(State.DRAINING);
    }

    private static Registration ready(long sequence) {
        return message(State.READY, sequence, Stage.DECODE);
    }

    private static Registration message(State state, long sequence, Stage stage) {
        return new Registration("i-1", "s", "10.0.0.9:80", "a", 4, stage, state, sequence);
    }
}
