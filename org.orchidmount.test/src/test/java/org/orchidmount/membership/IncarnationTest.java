/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/**
 * An upstream that starts again under the identity that it had begins anew.
 *
 * <p>Seen: an upstream that had left, or that had sent many messages, and started again under its
 * identity was not used, or kept the address and stage of before. How it comes about: its first
 * messages have low sequences, so each counted as a late one; and what has left never came back.
 * Cause: messages were told apart by the identity alone. What proves it: the same messages with
 * different starts are held, those with equal starts are not.
 */
final class IncarnationTest {
    private static final long OLD_MILLIS = 1_700_000_000_000L;
    private static final long NEW_MILLIS = OLD_MILLIS + 1;
    private static final long REMEMBER_NANOS = 1_000;

    /** In the year 2286: no upstream has started then. */
    private static final long FAR_MILLIS = 9_999_999_999_999L;

    private final Registry mRegistry = new Registry(REMEMBER_NANOS);

    /** Blank: not stated. */
    @ParameterizedTest
    @CsvSource({
        "i-1, 5, i-1, 4, true",
        "i-1, 5, i-1, 5, false",
        "i-1, 4, i-1, 5, false",
        "i-1, 0, i-1, , true",
        "i-1, , i-1, 0, false",
        "i-1, , i-1, , false",
        "i-1, 5, i-2, 4, false"
    })
    void startsOfOneIdentityAreCompared(
            String id, Long startMillis, String otherId, Long otherMillis, boolean isNewer) {
        Incarnation one = incarnation(id, startMillis);
        Incarnation other = incarnation(otherId, otherMillis);
        assertThat(one.isNewerThan(other)).isEqualTo(isNewer);
    }

    @Test
    void aNegativeStartIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Incarnation.startedAt("i-1", -1));
    }

    @ParameterizedTest
    @EnumSource(State.class)
    void aNewerStartEndsTheOlderWhateverItsStateAndSequence(State before) {
        mRegistry.merge(message(OLD_MILLIS, before, 900, Stage.DECODE), 0);
        Registration next = message(NEW_MILLIS, State.READY, 1, Stage.PREFILL);
        assertThat(mRegistry.merge(next, 1)).hasValue(next);
        assertThat(held()).isEqualTo(next);
    }

    @ParameterizedTest
    @EnumSource(State.class)
    void anOlderStartThatArrivesLateChangesNothing(State late) {
        Registration current = message(NEW_MILLIS, State.READY, 1, Stage.PREFILL);
        mRegistry.merge(current, 0);
        assertThat(mRegistry.merge(message(OLD_MILLIS, late, 900, Stage.DECODE), 50)).isEmpty();
        assertThat(held()).isEqualTo(current);
        assertThat(mRegistry.receivedBetween(50, 51)).isEmpty();
    }

    /** A start that is news is told, so that other instances end the older too. */
    @Test
    void aNewStartThatSaysTheSameIsNews() {
        mRegistry.merge(message(OLD_MILLIS, State.READY, 7, Stage.DECODE), 0);
        assertThat(mRegistry.merge(message(NEW_MILLIS, State.READY, 8, Stage.DECODE), 1))
                .isPresent();
    }

    @Test
    void inOneIncarnationASequenceThatWentDownIsALateMessage() {
        mRegistry.merge(message(OLD_MILLIS, State.READY, 7, Stage.PREFILL), 0);
        assertThat(mRegistry.merge(message(OLD_MILLIS, State.READY, 3, Stage.DECODE), 1)).isEmpty();
        assertThat(held().stage()).isEqualTo(Stage.PREFILL);
    }

    /**
     * An instance of an earlier version passes registrations on without their starts; what it says
     * may be of any incarnation.
     */
    @ParameterizedTest
    @EnumSource(State.class)
    void whatStatesNoStartNeitherEndsNorRevivesOneThatDoes(State held) {
        Registration stated = message(OLD_MILLIS, held, 3, Stage.DECODE);
        for (State unstated : State.values()) {
            Registry registry = new Registry(REMEMBER_NANOS);
            registry.merge(stated, 0);
            Registration other = message(null, unstated, 900, Stage.PREFILL);
            assertThat(registry.merge(other, 1)).isEmpty();
            assertThat(registry.find("i-1")).hasValue(stated);
        }
    }

    @ParameterizedTest
    @EnumSource(State.class)
    void aStatedStartTakesThePlaceOfOneThatIsNot(State unstated) {
        mRegistry.merge(message(null, unstated, 900, Stage.DECODE), 0);
        Registration stated = message(OLD_MILLIS, State.READY, 1, Stage.PREFILL);
        assertThat(mRegistry.merge(stated, 1)).hasValue(stated);
        assertThat(held()).isEqualTo(stated);
    }

    /** The word that an upstream leaves names no more than its identity. */
    @Test
    void aDepartureEndsTheIncarnationHeldAndTheNextComesBack() {
        mRegistry.merge(message(OLD_MILLIS, State.READY, 7, Stage.DECODE), 0);
        assertThat(mRegistry.markDeparted("i-1", 1).incarnation())
                .isEqualTo(incarnation("i-1", OLD_MILLIS));
        mRegistry.merge(message(OLD_MILLIS, State.READY, 8, Stage.DECODE), 2);
        assertThat(held().state()).isEqualTo(State.GONE);
        mRegistry.merge(message(NEW_MILLIS, State.READY, 1, Stage.DECODE), 3);
        assertThat(held().state()).isEqualTo(State.READY);
    }

    /** A departure that another instance has just received names the identity, or its start too. */
    @ParameterizedTest
    @CsvSource({", GONE", "1700000000000, READY", "1700000000001, GONE"})
    void aDepartureJustReceivedIsOfTheOneHeldUnlessItStatesAnother(Long startMillis, State after) {
        mRegistry.merge(message(NEW_MILLIS, State.READY, 7, Stage.DECODE), 0);
        Optional<Registration> changed =
                mRegistry.mergeDeparture(message(startMillis, State.GONE, 0, Stage.NONE), 1);
        assertThat(changed.isPresent()).isEqualTo(after == State.GONE);
        assertThat(held()).isEqualTo(message(NEW_MILLIS, after, 7, Stage.DECODE));
    }

    /** A start that is too far in the future bars the true ones until it is forgotten. */
    @Test
    void anImplausibleStartThatHasLeftIsForgottenAndTheTrueOneComesIn() {
        mRegistry.merge(message(FAR_MILLIS, State.READY, 1, Stage.DECODE), 0);
        Registration trueOne = message(NEW_MILLIS, State.READY, 1, Stage.DECODE);
        assertThat(mRegistry.merge(trueOne, 1)).isEmpty();
        mRegistry.markDeparted("i-1", 2);
        // What is barred does not count as a word of the one that bars it.
        assertThat(mRegistry.merge(trueOne, 900)).isEmpty();
        mRegistry.removeExpired(2 + REMEMBER_NANOS + 1);
        assertThat(mRegistry.merge(trueOne, 1_100)).hasValue(trueOne);
    }

    /** Instances that got the same messages in any order hold the same. */
    @Test
    void anyOrderOfMessagesEndsAlike() {
        List<Registration> messages = new ArrayList<>();
        for (Long startMillis : new Long[] {null, OLD_MILLIS, NEW_MILLIS}) {
            messages.add(message(startMillis, State.READY, 1, Stage.DECODE));
            messages.add(message(startMillis, State.READY, 5, Stage.PREFILL));
        }
        messages.add(message(null, State.GONE, 2, Stage.DECODE));
        messages.add(message(OLD_MILLIS, State.DRAINING, 9, Stage.DECODE));
        Random random = new Random(11);
        for (int i = 0; i < 200; i++) {
            Collections.shuffle(messages, random);
            Registry registry = new Registry(REMEMBER_NANOS);
            messages.forEach(message -> registry.merge(message, 0));
            assertThat(registry.find("i-1"))
                    .hasValue(message(NEW_MILLIS, State.READY, 5, Stage.PREFILL));
        }
    }

    private Registration held() {
        return mRegistry.find("i-1").orElseThrow();
    }

    private static Incarnation incarnation(String id, Long startMillis) {
        return Optional.ofNullable(startMillis)
                .map(millis -> Incarnation.startedAt(id, millis))
                .orElseGet(() -> Incarnation.ofUnknownStart(id));
    }

    private static Registration message(Long startMillis, State state, long sequence, Stage stage) {
        Incarnation incarnation = incarnation("i-1", startMillis);
        return new Registration(incarnation, "s", "10.0.0.9:80", "a", 4, stage, state, sequence);
    }
}
