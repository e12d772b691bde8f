/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.junit.StutteringUpstream;
import org.orchidmount.junit.StutteringUpstream.Answer;
import org.orchidmount.junit.StutteringUpstream.Call;
import org.orchidmount.junit.StutteringUpstream.Moment;

/**
 * Seen: nothing yet; found by reading. A plain service of the table may leave out the id of its
 * calls, and one that stutters sends an answer twice. Cause looked for: an answer without an id is
 * passed on whatever connection it came on, so the second copy is given to the next caller on that
 * connection. Proof: services that return ids always, never or every other time, and send each
 * answer again at a chosen moment; each caller gets its own answer or an error.
 */
final class PlainSurplusTest {
    private static final int CALLS = 12;

    /** Which answers of a service carry the id of their call. */
    private enum Echo {
        ALWAYS,
        NEVER,
        EVERY_OTHER
    }

    @TempDir Path mFolder;

    static List<Arguments> stutters() {
        List<Arguments> cases = new ArrayList<>();
        for (Echo echo : Echo.values()) {
            for (Moment moment : Moment.values()) {
                cases.add(Arguments.of(echo, moment));
            }
        }
        return cases;
    }

    /** A service that does not know of ids is served all the same. */
    @ParameterizedTest(name = "{0} {1}")
    @EnumSource(Echo.class)
    void eachCallOfASoundServiceIsServed(Echo echo) throws Exception {
        try (StutteringUpstream service = new StutteringUpstream(call -> answer(call, echo));
                TableEntry entry = entry(service)) {
            for (int i = 0; i < CALLS; i++) {
                HttpResponse<String> response = entry.caller().get("/lookup/" + i);
                assertThat(response.statusCode()).isEqualTo(200);
                assertThat(response.body()).isEqualTo("answer to /lookup/" + i);
            }
        }
    }

    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("stutters")
    void noCallerGetsTheAnswerToAnotherCall(Echo echo, Moment moment) throws Exception {
        try (StutteringUpstream service =
                        new StutteringUpstream(call -> answer(call, echo).twice(moment));
                TableEntry entry = entry(service)) {
            for (int i = 0; i < CALLS; i++) {
                HttpResponse<String> response = entry.caller().get("/lookup/" + i);
                if (moment == Moment.AT_REST) {
                    service.repeatAtRest();
                }
                if (response.statusCode() == 200) {
                    assertThat(response.body()).isEqualTo("answer to /lookup/" + i);
                } else {
                    assertWithMessage(response.body()).that(response.statusCode()).isAtLeast(500);
                }
            }
        }
    }

    private static Answer answer(Call call, Echo echo) {
        Answer answer = Answer.of(200, "answer to " + call.path());
        int number = Integer.parseInt(call.path().substring(call.path().lastIndexOf('/') + 1));
        boolean echoes = echo == Echo.ALWAYS || echo == Echo.EVERY_OTHER && number % 2 == 1;
        return echoes ? answer.with("X-Request-Id", call.field("X-Request-Id").get()) : answer;
    }

    private TableEntry entry(StutteringUpstream service) throws IOException {
        return new TableEntry(mFolder, Map.of("plain-1", service.port()), 100);
    }
}
