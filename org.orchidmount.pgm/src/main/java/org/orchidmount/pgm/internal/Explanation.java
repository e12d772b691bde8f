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
import org.orchidmount.report.RequestEnd;
import org.orchidmount.report.RequestReport;

/** Sums what the reports in logs say, by cause and by second. Not thread-safe. */
public final class Explanation {
    private final Map<RequestEnd, List<RequestReport>> mByEnd = new EnumMap<>(RequestEnd.class);
    private final Map<Instant, Ends> mBySecond = new TreeMap<>();
    private final List<RequestReport> mReports = new ArrayList<>();

    /** What reports can be summed by, besides their cause and their second. */
    public enum Group {
        /** The client account. */
        ACCOUNT(RequestReport::account),
        /** The service. */
        SERVICE(RequestReport::service),
        /** The upstream of the last attempt. */
        UPSTREAM(RequestReport::upstream);

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

        void addTo(Columns columns, Object name) {
            columns.add(name, mInTime, mLate, mRefused, mFailed, mLeft, mWastedTokens);
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
            if (!RequestReport.isReport(line.message())) {
                continue;
            }
            try {
                explanation.add(line.time(), RequestReport.parse(line.message()));
            } catch (IllegalArgumentException e) {
                String place = line.source() + " at " + line.time();
                errors.println(place + ": a report is skipped: " + e.getMessage());
            }
        }
        return explanation;
    }

    private void add(Instant time, RequestReport report) {
        mReports.add(report);
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
     * Returns what ended, by another property of the requests.
     *
     * @param group the property
     * @return a table, in the order of names
     */
    public Columns by(Group group) {
        Map<String, Ends> byName = new TreeMap<>();
        for (RequestReport report : mReports) {
            byName.computeIfAbsent(group.mName.apply(report), name -> new Ends()).add(report);
        }
        Columns columns = ends(group.name());
        byName.forEach((name, ends) -> ends.addTo(columns, name));
        return columns;
    }

    private static Columns ends(String title) {
        return new Columns(title, "IN TIME", "LATE", "REFUSED", "FAILED", "LEFT", "WASTED TOKENS");
    }

    private static long sum(List<RequestReport> reports, ToLongFunction<RequestReport> figure) {
        return reports.stream().mapToLong(figure).sum();
    }

    private static long median(List<RequestReport> reports, ToLongFunction<RequestReport> figure) {
        List<RequestReport> sorted =
                reports.stream().sorted(Comparator.comparingLong(figure)).toList();
        return figure.applyAsLong(sorted.get(sorted.size() / 2));
    }
}
