/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.AbortedResponse;
import org.orchidmount.internal.http.ResponseFraming;

/** Sums the responses that instances gave up, by cause and framing. Not thread-safe. */
public final class AbortedSums {
    private final List<AbortedResponse> mResponses = new ArrayList<>();

    private record Key(AbortCause cause, ResponseFraming framing) {}

    void add(AbortedResponse response) {
        mResponses.add(response);
    }

    /**
     * Returns whether no response was given up.
     *
     * @return true if there is nothing to tell
     */
    public boolean isEmpty() {
        return mResponses.isEmpty();
    }

    /**
     * Returns how many responses were given up, and how much of them had been sent.
     *
     * @return a table with one row for each cause and framing
     */
    public Columns table() {
        Columns columns =
                new Columns("ABORTED RESPONSES", "FRAMING", "RESPONSES", "BYTES", "PARTS", "RESET");
        Map<Key, List<AbortedResponse>> byKey =
                mResponses.stream()
                        .collect(
                                Collectors.groupingBy(
                                        response -> new Key(response.cause(), response.framing()),
                                        () ->
                                                new TreeMap<>(
                                                        Comparator.comparing(Key::cause)
                                                                .thenComparing(Key::framing)),
                                        Collectors.toList()));
        byKey.forEach(
                (key, responses) ->
                        columns.add(
                                key.cause(),
                                key.framing(),
                                responses.size(),
                                responses.stream().mapToLong(AbortedResponse::bytes).sum(),
                                responses.stream().mapToLong(AbortedResponse::parts).sum(),
                                responses.stream().filter(AbortedResponse::isReset).count()));
        return columns;
    }
}
