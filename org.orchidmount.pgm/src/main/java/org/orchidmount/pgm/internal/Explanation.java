/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import java.io.PrintWriter;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.orchidmount.internal.http.AbortedResponse;
import org.orchidmount.report.RequestEnd;
import org.orchidmount.report.RequestReport;

/**
 * Sums what reports and lines of responses given up say in logs, by cause, second and other
 * properties. Not thread-safe.
 */
public final class Explanation {
    private final Map<RequestEnd, List<RequestReport>> mByEnd = new EnumMap<>(RequestEnd.class);
    private final Map<Instant, Ends> mBySecond = new TreeMap<>();
    private final List<RequestReport> mReports = new ArrayList<>();
    private final UrgentRefusals mUrgentRefusals = new UrgentRefusals();
    private final AbortedSums mAborted = new AbortedSums();

    /** What reports can be summed by, besides their cause and their second. */
    public enum Group {
        /** The client account. */
        ACCOUNT(RequestReport::account),
        /** The route. */
        ROUTE(RequestReport::route),
        /** The rank of urgency within the service, 0 being the most urgent. */
        URGENCY(RequestReport::urgencyText),
        /** The service. */
        SERVICE(RequestReport::service),
        /** The upstream of the last attempt. */
        UPSTREAM(RequestReport::upstream),
        /** The instance through which the last attempt reached its upstream. */
        THROUGH(RequestReport::through),
        /** The software version of the last upstream. */
        VERSION(RequestReport::version),
        /** What restricted the request to one software version. */
        BOUND_BY(RequestReport::boundBy);

        private final Function<RequestReport, String> mName;

        Group(Function<RequestReport, String> name) {
            mName = name;
        }
    }

    /** How many requests ended in which way. */
    private static final class Ends {
        private int mInTime;
        private int mLate;
        private int mRefused;
        private int mFailed;
        private int mLeft;
        private long mWastedTokens;

        void add(RequestReport report) {
            RequestEnd end = report.end();
            if (end == RequestEnd.IN_TIME) {
                mInTime++;
            } else if (end.isLate()) {
                mLate++;
            } else if (end.isRefused()) {
                mRefused++;
            } else if (end == RequestEnd.CALLER_LEFT) {
                mLeft++;
            } else {
                mFailed++;
            }
            mWastedTokens += report.wastedTokens();
        }

        void addTo(Columns columns, Object... names) {
            List<Object> cells = new ArrayList<>(List.of(names));
            cells.addAll(List.of(mInTime, mLate, mRefused, mFailed, mLeft, mWastedTokens));
            columns.add(cells.toArray());
        }
    }

    /**
     * Reads the reports among lines.
     *
     * @param lines the lines
     * @param errors takes what is wrong with a report that cannot be read
     * @return their sums
     */
    public static Explanation of(List<LogFiles.Line> lines, PrintWriter errors) {
        Explanation explanation = new Explanation();
        for (LogFiles.Line line : lines) {
            try {
                AbortedResponse.parse(line.message()).ifPresent(explanation.mAborted::add);
                if (RequestReport.isReport(line.message())) {
                    explanation.add(line.time(), RequestReport.parse(line.message()));
                }
            } catch (IllegalArgumentException e) {
                String place = line.source() + " at " + line.time();
                errors.println(place + ": a report is skipped: " + e.getMessage());
            }
        }
        return explanation;
    }

    private void add(Instant time, RequestReport report) {
        mReports.add(report);
        mUrgentRefusals.add(time, report);
        mByEnd.computeIfAbsent(report.end(), end -> new ArrayList<>()).add(report);
        mBySecond
                .computeIfAbsent(time.truncatedTo(ChronoUnit.SECONDS), second -> new Ends())
                .add(report);
    }

    /**
     * Returns the requests and tokens of each cause, and the median of each wait.
     *
     * @return a table
     */
    public Columns causes() {
        Columns columns =
                new Columns(
                        "CAUSE",
                        "REQUESTS",
                        "PROMPT TOKENS",
                        "WASTED TOKENS",
                        "ROOM MS",
                        "PREFILL MS",
                        "FIRST MS",
                        "PAUSE MS");
        mByEnd.forEach(
                (end, reports) ->
                        columns.add(
                                end,
                                reports.size(),
                                sum(reports, RequestReport::promptTokens),
                                sum(reports, RequestReport::wastedTokens),
                                median(reports, RequestReport::roomMillis),
                                median(reports, RequestReport::prefillMillis),
                                median(reports, RequestReport::firstMillis),
                                median(reports, RequestReport::pauseMillis)));
        return columns;
    }

    /**
     * Returns what ended in each second, by the moment of the end.
     *
     * @return a table
     */
    public Columns seconds() {
        Columns columns = ends("SECOND");
        mBySecond.forEach((time, ends) -> ends.addTo(columns, time));
        return columns;
    }

    /**
     * Returns what ended, by other properties of the requests.
     *
     * @param groups the properties
     * @return a table, in the order of names
     */
    public Columns by(List<Group> groups) {
        Columns columns = ends(groups.stream().map(Group::name).toArray(String[]::new));
        grouped(groups)
                .forEach(
                        (names, reports) -> {
                            Ends ends = new Ends();
                            reports.forEach(ends::add);
                            ends.addTo(columns, names.toArray());
                        });
        return columns;
    }

    /**
     * Returns which share of all requests each group sent and got served, and how long its requests
     * waited for room, whether they were served or refused.
     *
     * @param groups the properties by which requests are grouped
     * @return a table, in the order of names
     */
    public Columns waits(List<Group> groups) {
        List<String> titles = new ArrayList<>(groups.stream().map(Group::name).toList());
        titles.addAll(
                List.of(
                        "REQUESTS",
                        "% OF ALL",
                        "% OF SERVED",
                        "% SERVED",
                        "ROOM MS",
                        "90%",
                        "LONGEST"));
        Columns columns = new Columns(titles.toArray(String[]::new));
        long allServed = served(mReports);
        grouped(groups)
                .forEach(
                        (names, reports) -> {
                            List<Object> cells = new ArrayList<>(names);
                            cells.add(reports.size());
                            cells.add(percent(reports.size(), mReports.size()));
                            cells.add(percent(served(reports), allServed));
                            cells.add(percent(served(reports), reports.size()));
                            cells.add(quantile(reports, RequestReport::roomMillis, 0.5));
                            cells.add(quantile(reports, RequestReport::roomMillis, 0.9));
                            cells.add(quantile(reports, RequestReport::roomMillis, 1));
                            columns.add(cells.toArray());
                        });
        return columns;
    }

    private Map<List<String>, List<RequestReport>> grouped(List<Group> groups) {
        Map<List<String>, List<RequestReport>> grouped =
                new TreeMap<>(Comparator.comparing(names -> String.join("\0", names)));
        for (RequestReport report : mReports) {
            List<String> names = groups.stream().map(group -> group.mName.apply(report)).toList();
            grouped.computeIfAbsent(names, key -> new ArrayList<>()).add(report);
        }
        return grouped;
    }

    private static long served(List<RequestReport> reports) {
        return reports.stream().filter(report -> report.end().isServed()).count();
    }

    private static long percent(long part, long whole) {
        return whole == 0 ? 0 : Math.round(100.0 * part / whole);
    }

    /**
     * Returns the requests that were refused for the sake of more urgent ones.
     *
     * @return the refusals
     */
    public UrgentRefusals urgentRefusals() {
        return mUrgentRefusals;
    }

    /**
     * Returns the responses that were given up.
     *
     * @return their sums
     */
    public AbortedSums aborted() {
        return mAborted;
    }

    private static Columns ends(String... names) {
        List<String> titles = new ArrayList<>(List.of(names));
        titles.addAll(List.of("IN TIME", "LATE", "REFUSED", "FAILED", "LEFT", "WASTED TOKENS"));
        return new Columns(titles.toArray(String[]::new));
    }

    private static long sum(List<RequestReport> reports, ToLongFunction<RequestReport> figure) {
        return reports.stream().mapToLong(figure).sum();
    }

    private static long median(List<RequestReport> reports, ToLongFunction<RequestReport> figure) {
        return quantile(reports, figure, 0.5);
    }

    private static long quantile(
            List<RequestReport> reports, ToLongFunction<RequestReport> figure, double share) {
        List<RequestReport> sorted =
                reports.stream().sorted(Comparator.comparingLong(figure)).toList();
        int index = Math.min(sorted.size() - 1, (int) (share * sorted.size()));
        return figure.applyAsLong(sorted.get(index));
    }
}
