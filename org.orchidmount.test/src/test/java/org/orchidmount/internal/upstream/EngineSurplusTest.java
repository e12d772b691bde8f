/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.upstream;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.errors.Attempt;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.StutteringUpstream;
import org.orchidmount.junit.StutteringUpstream.Answer;
import org.orchidmount.junit.StutteringUpstream.Call;
import org.orchidmount.junit.StutteringUpstream.Moment;
import org.orchidmount.junit.TestConnections;
import org.orchidmount.settings.Settings;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.upstream.EngineRequest;
import org.orchidmount.upstream.PrefillResult;
import org.orchidmount.upstream.TokenStream;

/**
 * Seen: nothing yet; found by reading. An engine that stutters sends an answer twice, the second
 * time in the place of a later one. Cause looked for: the answers to reports, lists, cancels and
 * resumptions, and all refusals, are held against no identity. Proof: each answer of an engine says
 * to which call it belongs, and comes again at a chosen moment; each call yields what belongs to
 * it, or a failure that says nothing of another call.
 */
final class EngineSurplusTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int CALLS = 8;
    private static final String ID = "X-Request-Id";

    /** What is asked of an engine; of the last three every other call is refused. */
    private enum Operation {
        REPORT,
        LIST,
        CANCEL,
        PREFILL,
        REFUSED_PREFILL,
        REFUSED_DECODE,
        REFUSED_RESUME
    }

    /** The call that is under way; calls are made one after another. */
    private final AtomicInteger mUnderWay = new AtomicInteger();

    static List<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Operation operation : Operation.values()) {
            for (Moment moment : Moment.values()) {
                cases.add(Arguments.of(operation, moment, true));
                cases.add(Arguments.of(operation, moment, false));
            }
        }
        return cases;
    }

    @ParameterizedTest(name = "{0} {1} {2}")
    @MethodSource("cases")
    void eachCallYieldsWhatBelongsToIt(Operation operation, Moment moment, boolean echoes)
            throws Exception {
        try (StutteringUpstream engine =
                        new StutteringUpstream(call -> answer(operation, call, moment, echoes));
                TestConnections connections = new TestConnections(TIMEOUT)) {
            Peer peer = new Peer("engine", "127.0.0.1", engine.port());
            HttpEngineClient client = client(connections);
            for (int number = 0; number < CALLS; number++) {
                mUnderWay.set(number);
                check(operation, number, call(client, operation, peer, "r-" + number));
                if (moment == Moment.AT_REST) {
                    engine.repeatAtRest();
                }
            }
        }
    }

    private static HttpEngineClient client(TestConnections connections) {
        Settings.Upstreams settings =
                new Settings.Upstreams(TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, 0);
        return new HttpEngineClient(connections.get(), settings, "i", "1", new MetricRegistry());
    }

    /** Makes a call; returns the number that its result belongs to, or why there is none. */
    private static Attempt<Integer> call(
            HttpEngineClient client, Operation operation, Peer peer, String id) {
        CancelSignal cancel = new CancelSignal();
        EngineRequest request =
                new EngineRequest(peer, id, EngineProtocol.COMPLETIONS, Json.object(), 0);
        return switch (operation) {
            case REPORT -> map(client.report(peer, 0), report -> report.running());
            case LIST -> map(client.running(peer), list -> number(list.getFirst().id()));
            case CANCEL -> map(client.cancel(peer, id), known -> known ? 1 : 0);
            case PREFILL, REFUSED_PREFILL ->
                    map(client.prefill(request, cancel), PrefillResult::promptTokens);
            case REFUSED_DECODE -> {
                PrefillResult prefilled = new PrefillResult(Json.object(), 0, 0);
                yield closed(client.decode(request, prefilled, cancel));
            }
            case REFUSED_RESUME -> closed(client.resume(peer, id, 0, cancel));
        };
    }

    /** A stream is read to its end, so that its connection can serve again. */
    private static Attempt<Integer> closed(Attempt<TokenStream> attempt) {
        return switch (attempt) {
            case Attempt.Done<TokenStream>(TokenStream stream) -> {
                try (stream) {
                    int found = Integer.parseInt(stream.next().text());
                    stream.next();
                    yield new Attempt.Done<>(found);
                } catch (CallFailedException e) {
                    yield new Attempt.Failed<>(e.failure());
                }
            }
            case Attempt.Failed<TokenStream>(Failure failure) -> new Attempt.Failed<>(failure);
        };
    }

    private static <T> Attempt<Integer> map(Attempt<T> attempt, Function<T, Integer> number) {
        return switch (attempt) {
            case Attempt.Done<T>(T value) -> new Attempt.Done<>(number.apply(value));
            case Attempt.Failed<T>(Failure failure) -> new Attempt.Failed<>(failure);
        };
    }

    private static int number(String id) {
        return Integer.parseInt(id.substring(id.indexOf('-') + 1));
    }

    private static boolean isRefused(Operation operation, int number) {
        return operation.name().startsWith("REFUSED") && number % 2 == 0;
    }

    private static void check(Operation operation, int number, Attempt<Integer> attempt) {
        switch (attempt) {
            case Attempt.Done<Integer>(Integer found) -> {
                assertThat(isRefused(operation, number)).isFalse();
                assertThat(found).isEqualTo(operation == Operation.CANCEL ? number % 2 : number);
            }
            case Attempt.Failed<Integer>(Failure failure) -> {
                if (failure instanceof Failure.Rejected) {
                    assertThat(isRefused(operation, number)).isTrue();
                }
            }
        }
    }

    // ---- the engine

    private Answer answer(Operation operation, Call call, Moment moment, boolean echoes) {
        int number = mUnderWay.get();
        Answer answer =
                isRefused(operation, number)
                        ? Answer.of(operation == Operation.REFUSED_RESUME ? 404 : 503, "{}")
                        : Answer.of(200, body(operation, call, number));
        String id = call.field(ID).orElse(null);
        return (echoes && id != null ? answer.with(ID, id) : answer).twice(moment);
    }

    private static String body(Operation operation, Call call, int number) {
        ObjectNode json = Json.object().put("id", call.field(ID).orElse("none"));
        switch (operation) {
            case REPORT -> json.put("running", number);
            case LIST -> json.putArray("requests").addObject().put("id", "r-" + number);
            case CANCEL -> json.put("cancelled", number % 2 == 1);
            case PREFILL, REFUSED_PREFILL -> {
                json.putObject(EngineProtocol.TRANSFER).put("remote_handle", "h");
                json.putObject("usage").put("prompt_tokens", number);
            }
            case REFUSED_DECODE, REFUSED_RESUME -> {
                json.put("offset", 0);
                json.putArray("choices")
                        .addObject()
                        .put("text", String.valueOf(number))
                        .put("finish_reason", "stop");
                return "data: " + Json.text(json) + "\n\ndata: [DONE]\n\n";
            }
            default -> throw new IllegalArgumentException("unknown operation " + operation);
        }
        return Json.text(json);
    }
}
