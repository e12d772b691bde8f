/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.orchidmount.report.RequestEnd;
import org.orchidmount.report.RequestReport;

/**
 * The requests that were refused for the sake of more urgent ones, and which these were.
 *
 * <p>An instance reserves memory because of the more urgent requests that arrived within the last
 * 10 s. The reports of these requests are searched for here: those of the same service and a more
 * urgent rank that arrived within that time before the refused request ended. Not thread-safe.
 */
public final class UrgentRefusals {
    /** Time for which an arrival counts, as in {@code UrgentArrivals}. */
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Number of favoured groups that are named; further ones are only counted. */
    private static final int MAX_NAMED = 3;

    private final List<Ended> mRanked = new ArrayList<>();
    private final List<Ended> mRefused = new ArrayList<>();

    private record Ended(Instant time, RequestReport report) {
        Instant arrived() {
            return time.minusMillis(report.totalMillis());
        }

        int rank() {
            return report.urgency().orElseThrow();
        }

        String group() {
            return "%s/%s/%s".formatted(report.route(), report.account(), report.urgencyText());
        }
    }

    /** Adds a report; ones without a rank of urgency are ignored. */
    void add(Instant time, RequestReport report) {
        if (report.urgency().isEmpty()) {
            return;
        }
        Ended ended = new Ended(time, report);
        mRanked.add(ended);
        if (report.end() == RequestEnd.REFUSED_FOR_URGENT) {
            mRefused.add(ended);
        }
    }

    /**
     * Returns whether no request was refused for the sake of more urgent ones.
     *
     * @return true if there is nothing to tell
     */
    public boolean isEmpty() {
        return mRefused.isEmpty();
    }

    /**
     * Returns who was refused, and in whose favour.
     *
     * @return a table with one row for each route, account and urgency of refused requests
     */
    public Columns table() {
        Columns columns =
                new Columns("REFUSED FOR URGENT", "REQUESTS", "IN FAVOUR OF ROUTE/ACCOUNT/URGENCY");
        Map<String, List<Ended>> byGroup =
                mRefused.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Ended::group, TreeMap::new, Collectors.toList()));
        byGroup.forEach((group, refused) -> columns.add(group, refused.size(), favoured(refused)));
        return columns;
    }

    /** Names the groups of the more urgent requests, those with the most requests first. */
    private String favoured(List<Ended> refused) {
        Map<String, TreeSet<Instant>> timesByService = new HashMap<>();
        for (Ended ended : refused) {
            timesByService
                    .computeIfAbsent(ended.report().service(), service -> new TreeSet<>())
                    .add(ended.time());
        }
        int refusedRank = refused.getFirst().rank();
        Map<String, Long> requests =
                mRanked.stream()
                        .filter(ended -> ended.rank() < refusedRank)
                        .filter(ended -> hasArrivedBefore(ended, timesByService))
                        .collect(
                                Collectors.groupingBy(
                                        Ended::group, TreeMap::new, Collectors.counting()));
        List<String> names =
                requests.entrySet().stream()
                        .sorted(
                                Map.Entry.<String, Long>comparingByValue()
                                        .reversed()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .map(entry -> entry.getKey() + " (" + entry.getValue() + ")")
                        .toList();
        if (names.isEmpty()) {
            return "not in these logs";
        }
        String named = String.join(", ", names.subList(0, Math.min(MAX_NAMED, names.size())));
        int others = names.size() - MAX_NAMED;
        return others > 0 ? named + " and " + others + " more" : named;
    }

    /** Returns whether a request of its service was refused within the window after its arrival. */
    private static boolean hasArrivedBefore(
            Ended ended, Map<String, TreeSet<Instant>> refusedByService) {
        TreeSet<Instant> refused = refusedByService.get(ended.report().service());
        Instant next = refused == null ? null : refused.ceiling(ended.arrived());
        return next != null && !next.isAfter(ended.arrived().plus(WINDOW));
    }
}
