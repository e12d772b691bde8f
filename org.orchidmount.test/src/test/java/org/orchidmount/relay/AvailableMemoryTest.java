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
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.SampleRoutes;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.pacing.UpstreamLimits;
import org.orchidmount.pacing.UpstreamThrottle;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.SharedQuota;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.MemoryRule;
import org.orchidmount.routing.UrgentArrivals;

/** Tests {@code AvailableMemory} with one engine and what this instance knows of it. */
final class AvailableMemoryTest {
    private static final long MEMORY_TOKENS = 74_000;
    private static final int PROMPT_TOKENS = 5_000;
    private static final Service SERVICE =
            new Service("s", Optional.of(new Service.Engine(MEMORY_TOKENS, 70)));

    private final ManualClock mClock = new ManualClock();
    private final UpstreamDirectory mUpstreams =
            new UpstreamDirectory("a", mClock, new SplittableRandom(1));
    private final EngineLoads mLoads = new EngineLoads(mClock);
    private final RelayContext mContext =
            new RelayContext(
                    mUpstreams,
                    null,
                    new ConcurrentHashMap<>(),
                    new UrgentArrivals(mClock, () -> 1),
                    null,
                    null,
                    mLoads,
                    null,
                    null,
                    new UpstreamThrottle(
                            new UpstreamLimits("here", mClock),
                            limit -> {},
                            new SharedQuota(unusedOwner()),
                            () -> 1,
                            new SplittableRandom(1),
                            mClock),
                    null,
                    null,
                    null,
                    null,
                    mClock);

    AvailableMemoryTest() {
        mUpstreams.update(
                new Registration("e-1", "s", "10.0.0.1:101", "a", 1, Stage.DECODE, State.READY, 1));
    }

    /** No limit is stated here, so the owner is never asked. */
    private static QuotaOwnerClient unusedOwner() {
        return null;
    }

    private AvailableMemory memory(int rank, boolean isClientRetry) {
        RelayRequest request =
                new RelayRequest(
                        "id-1",
                        SampleRoutes.stream(
                                true, Duration.ofSeconds(14), Duration.ofMillis(900), 2, "s"),
                        Optional.empty(),
                        Methods.POST,
                        "/x",
                        new HeaderMap(),
                        new byte[0],
                        0,
                        0,
                        rank < 0 ? OptionalInt.empty() : OptionalInt.of(rank),
                        Optional.of(new RelayRequest.Prompt(PROMPT_TOKENS, 0, 0, 0)));
        InFlightSequence output = InFlightSequence.ofOutput("id-1", PROMPT_TOKENS, 4_000, 8_000);
        return new AvailableMemory(mContext, request, SERVICE, output, isClientRetry);
    }

    private void arrive(int rank, int requests) {
        for (int i = 0; i < requests; i++) {
            memory(rank, false);
        }
    }

    /** Places sequences at the engine so that a further one just fits into all of the memory. */
    private void fill() {
        InFlightSequence next = InFlightSequence.ofOutput("next", PROMPT_TOKENS, 4_000, 8_000);
        for (int i = 0; ; i++) {
            InFlightSequence sequence =
                    InFlightSequence.ofOutput("f-" + i, PROMPT_TOKENS, 4_000, 8_000);
            InFlightSequence placed = sequence.placedAt(Incarnation.ofUnknownStart("e-1"), 1);
            mLoads.update(placed);
            if (mLoads.saturatedEngines(next, MEMORY_TOKENS, speed()).contains("e-1")) {
                mLoads.update(placed.asEnded());
                return;
            }
        }
    }

    private EngineSpeed speed() {
        return mContext.speedEstimator("s").speed();
    }

    /** Guards against any effect where urgency is not in force, or on the most urgent rank. */
    @ParameterizedTest
    @CsvSource({"-1, false", "-1, true", "0, false", "0, true"})
    void withoutMoreUrgentRequestsOnlyTheMemoryRuleDecides(int rank, boolean isClientRetry) {
        arrive(rank, 20);
        AvailableMemory memory = memory(rank, isClientRetry);
        long expected =
                MemoryRule.availableTokens(
                        InFlightSequence.ofOutput("id-1", PROMPT_TOKENS, 4_000, 8_000)
                                .forecastInput(0),
                        isClientRetry,
                        MEMORY_TOKENS);
        assertThat(memory.tokens(MEMORY_TOKENS)).isEqualTo(expected);
        memory.notPlaced();
        assertThat(memory.isHeldBack()).isFalse();
    }

    /** Guards against a reserve that arrivals of the same or a less urgent rank cause. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, false", "2, false"})
    void moreUrgentArrivalsWithholdMemory(int arriving, boolean isWithheld) {
        arrive(arriving, 10);
        AvailableMemory memory = memory(1, false);
        assertThat(memory.tokens(MEMORY_TOKENS) < MEMORY_TOKENS).isEqualTo(isWithheld);
        mClock.advance(Duration.ofSeconds(11));
        assertThat(memory.tokens(MEMORY_TOKENS)).isEqualTo(MEMORY_TOKENS);
    }

    /** Guards against a reason that blames urgent requests for an engine that is full anyway. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRefusalIsForUrgentRequestsOnlyIfTheMemoryWasThere(boolean hasRoom) {
        arrive(0, 10);
        fill();
        if (!hasRoom) {
            mLoads.update(
                    InFlightSequence.ofOutput("last", PROMPT_TOKENS, 4_000, 8_000)
                            .placedAt(Incarnation.ofUnknownStart("e-1"), 1));
        }
        AvailableMemory memory = memory(1, false);
        memory.notPlaced();
        assertThat(memory.isHeldBack()).isEqualTo(hasRoom);
    }

    /** Guards against a rank that is held back for ever, and against an exemption that lasts. */
    @Test
    void afterThreeRefusalsTheNextRequestIsExempt() {
        arrive(0, 10);
        for (int i = 0; i < 3; i++) {
            assertThat(memory(1, false).tokens(MEMORY_TOKENS)).isLessThan(MEMORY_TOKENS);
            memory(1, false).notPlaced();
        }
        AvailableMemory exempt = memory(1, false);
        assertThat(exempt.tokens(MEMORY_TOKENS)).isEqualTo(MEMORY_TOKENS);
        assertThat(memory(2, false).tokens(MEMORY_TOKENS)).isLessThan(MEMORY_TOKENS);
        exempt.placed();
        assertThat(memory(1, false).tokens(MEMORY_TOKENS)).isLessThan(MEMORY_TOKENS);
    }
}
