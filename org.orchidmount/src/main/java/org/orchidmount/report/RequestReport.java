/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.report;

import java.util.HashMap;
import java.util.Map;

/**
 * What became of one request at one instance. Immutable.
 *
 * @param id the caller's identity of the request
 * @param end how it ended
 * @param service the service chosen for it
 * @param isClientRetry whether its caller seems to have been refused before
 * @param attempts attempts at upstreams
 * @param promptTokens the tokens of its prompt; 0 for plain requests
 * @param prefilledTokens tokens that engines have prefilled for it
 * @param roomMillis milliseconds of waiting for a place, with memory where that is needed
 * @param prefillMillis milliseconds of waiting for prefill engines
 * @param firstMillis milliseconds to the first part of the response; -1 if there was none
 * @param pauseMillis the longest pause between two parts of a stream, in milliseconds
 * @param totalMillis milliseconds to its end
 * @param upstream the upstream of its last attempt; "-" if there was none
 * @param account the client account that it counts for; "-" if there is none
 */
public record RequestReport(
        String id,
        RequestEnd end,
        String service,
        boolean isClientRetry,
        int attempts,
        int promptTokens,
        int prefilledTokens,
        long roomMillis,
        long prefillMillis,
        long firstMillis,
        long pauseMillis,
        long totalMillis,
        String upstream,
        String account) {
    /** The prefix of a report's line in the log. */
    public static final String PART = "request";

    /** The time to the first part of a response that never came. */
    public static final long NO_RESPONSE_MILLIS = -1;

    /** Stands for an upstream where there was none. */
    public static final String NO_UPSTREAM = "-";

    /** Stands for a client account where there was none. */
    public static final String NO_ACCOUNT = "-";

    private static final String PREFIX = PART + ": ";

    /** Places of the words of a line: the identity and the end, then fields by name. */
    private static final int ID = 0;

    private static final int END = 1;
    private static final int FIRST_FIELD = 2;

    /**
     * Makes the report of a request that was refused before an upstream was looked for.
     *
     * @param id the caller's identity of the request
     * @param end why
     * @param service the service of its route
     * @param account its client account, or {@link #NO_ACCOUNT}
     * @return the report
     */
    public static RequestReport refusedAtOnce(
            String id, RequestEnd end, String service, String account) {
        return new RequestReport(
                id,
                end,
                service,
                false,
                0,
                0,
                0,
                0,
                0,
                NO_RESPONSE_MILLIS,
                0,
                0,
                NO_UPSTREAM,
                account);
    }

    /**
     * Returns the tokens that were prefilled for nothing: all if the request was not served, else
     * those prefilled more than once.
     *
     * @return tokens
     */
    public int wastedTokens() {
        return Math.max(0, prefilledTokens - (end.isServed() ? promptTokens : 0));
    }

    /**
     * Writes the report as a line, without the prefix.
     *
     * @return the line
     */
    public String toLine() {
        return String.join(
                " ",
                id,
                end.name(),
                "service=" + service,
                "retry=" + isClientRetry,
                "attempts=" + attempts,
                "promptTokens=" + promptTokens,
                "prefilledTokens=" + prefilledTokens,
                "roomMillis=" + roomMillis,
                "prefillMillis=" + prefillMillis,
                "firstMillis=" + firstMillis,
                "pauseMillis=" + pauseMillis,
                "totalMillis=" + totalMillis,
                "upstream=" + upstream,
                "account=" + account);
    }

    /**
     * Tells whether a message of the log is a report.
     *
     * @param message the message, with its prefix
     * @return true if {@link #parse} may be asked to read it
     */
    public static boolean isReport(String message) {
        return message.startsWith(PREFIX);
    }

    /**
     * Reads a report.
     *
     * @param message the message, with its prefix
     * @return the report
     * @throws IllegalArgumentException if it is not whole; says what is wrong
     */
    public static RequestReport parse(String message) {
        String[] words = message.substring(PREFIX.length()).split(" ");
        if (words.length < FIRST_FIELD) {
            throw new IllegalArgumentException("a report without an end");
        }
        Fields fields = Fields.parse(words);
        return new RequestReport(
                words[ID],
                RequestEnd.valueOf(words[END]),
                fields.text("service"),
                Boolean.parseBoolean(fields.text("retry")),
                (int) fields.number("attempts"),
                (int) fields.number("promptTokens"),
                (int) fields.number("prefilledTokens"),
                fields.number("roomMillis"),
                fields.number("prefillMillis"),
                fields.number("firstMillis"),
                fields.number("pauseMillis"),
                fields.number("totalMillis"),
                fields.text("upstream"),
                fields.textOr("account", NO_ACCOUNT));
    }

    /** The fields of a line by their names. */
    private record Fields(Map<String, String> values) {
        static Fields parse(String[] words) {
            Map<String, String> values = new HashMap<>();
            for (int i = FIRST_FIELD; i < words.length; i++) {
                int equals = words[i].indexOf('=');
                if (equals < 0) {
                    throw new IllegalArgumentException("a field without a value: " + words[i]);
                }
                values.put(words[i].substring(0, equals), words[i].substring(equals + 1));
            }
            return new Fields(values);
        }

        String text(String name) {
            String value = values.get(name);
            if (value == null) {
                throw new IllegalArgumentException("the field " + name + " is missing");
            }
            return value;
        }

        /** Returns a field that instances of an earlier version leave out. */
        String textOr(String name, String otherwise) {
            return values.getOrDefault(name, otherwise);
        }

        long number(String name) {
            String value = text(name);
            try {
                return Long.parseLong(value);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("no number in " + name + "=" + value, e);
            }
        }
    }
}
