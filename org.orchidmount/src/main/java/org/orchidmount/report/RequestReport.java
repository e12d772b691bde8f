/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.report;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The outcome of one request at one instance. Times are in milliseconds. Immutable.
 *
 * @param id request id given by the caller
 * @param end outcome
 * @param service service selected for the request
 * @param isClientRetry whether the request appears to be a retry by a caller that was refused
 *     before
 * @param attempts number of attempts on upstreams
 * @param promptTokens number of tokens in the prompt; 0 for requests to services without model
 *     engines
 * @param prefilledTokens number of tokens that engines prefilled for the request, repeated prefills
 *     included
 * @param roomMillis time spent waiting for an upstream with a free slot and, where needed, with
 *     enough memory
 * @param prefillMillis time spent waiting for prefill engines
 * @param firstMillis time to the first part of the response; -1 if there was none
 * @param pauseMillis longest gap between two parts of a stream
 * @param totalMillis time to the end of the request
 * @param upstream upstream of the last attempt; "-" if there was none
 * @param account client account that the request counts for; "-" if there is none
 * @param route route of the request; "-" if an instance of an earlier version wrote the report
 * @param urgency rank of urgency within the service, 0 being the most urgent; empty if urgency is
 *     not in force for the service
 * @param waitAhead number of waiting requests ahead of the request on its arrival; 0 where requests
 *     are not placed in order
 * @param backInMillis time to retry that the caller was told; -1 if none
 * @param through instance through which the last attempt reached its upstream; "-" if it was direct
 * @param version software version of the upstream of the last attempt; "-" if it is not known
 * @param boundBy what restricted the request to one software version; "-" if nothing did
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
        String account,
        String route,
        OptionalInt urgency,
        int waitAhead,
        long backInMillis,
        String through,
        String version,
        String boundBy) {
    /** The log part of report lines, which prefixes each of them. */
    public static final String PART = "request";

    /** Value of {@code firstMillis} if there was no response. */
    public static final long NO_RESPONSE_MILLIS = -1;

    /** Value of {@code backInMillis} if the caller was told no time to retry. */
    public static final long NO_RETRY_MILLIS = -1;

    /** Value of {@code service} if the request was refused before its service was known. */
    public static final String NO_SERVICE = "-";

    /** Value of {@code upstream} if there was no attempt. */
    public static final String NO_UPSTREAM = "-";

    /** Value of {@code through} if the last attempt was direct, or if there was none. */
    public static final String DIRECT = "-";

    /** Value of {@code version} if it is not known. */
    public static final String NO_VERSION = "-";

    /** Value of {@code boundBy} if the request was not restricted to a version. */
    public static final String UNBOUND = "-";

    /** Value of {@code account} if the request counts for no client account. */
    public static final String NO_ACCOUNT = "-";

    /** Value of {@code route} if the report does not state it. */
    public static final String NO_ROUTE = "-";

    /** Form of an empty {@code urgency} in a line. */
    private static final String NO_URGENCY = "-";

    private static final String PREFIX = PART + ": ";

    /** Positions in a line: the request id, the outcome, then key=value fields. */
    private static final int ID_INDEX = 0;

    private static final int OUTCOME_INDEX = 1;
    private static final int FIRST_FIELD_INDEX = 2;

    /**
     * Creates the report of a request that was refused before an upstream was selected.
     *
     * @param id request id given by the caller
     * @param end reason for the refusal
     * @param service service of the route
     * @param account client account, or {@link #NO_ACCOUNT}
     * @param route name of the route
     * @param urgency rank of urgency within the service, if it is in force and known
     * @return the report
     */
    public static RequestReport refusedWithoutAttempt(
            String id,
            RequestEnd end,
            String service,
            String account,
            String route,
            OptionalInt urgency) {
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
                account,
                route,
                urgency,
                0,
                NO_RETRY_MILLIS,
                DIRECT,
                NO_VERSION,
                UNBOUND);
    }

    /**
     * Returns the number of tokens that were prefilled in vain: all of them if the request was not
     * served, otherwise those prefilled more than once.
     *
     * @return a number of tokens, at least 0
     */
    public int wastedTokens() {
        return Math.max(0, prefilledTokens - (end.isServed() ? promptTokens : 0));
    }

    /**
     * Formats the report as a log line without the prefix.
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
                "account=" + account,
                "route=" + route,
                "urgency=" + urgencyText(),
                "waitAhead=" + waitAhead,
                "backInMillis=" + backInMillis,
                "through=" + through,
                "version=" + version,
                "boundBy=" + boundBy);
    }

    /**
     * Returns the rank of urgency as it is written in a line.
     *
     * @return the rank; "-" if urgency is not in force for the service
     */
    public String urgencyText() {
        return urgency.isPresent() ? String.valueOf(urgency.getAsInt()) : NO_URGENCY;
    }

    /**
     * Returns whether a log message is a report line.
     *
     * @param message log message with its prefix
     * @return true if the message can be passed to {@link #parse}
     */
    public static boolean isReport(String message) {
        return message.startsWith(PREFIX);
    }

    /**
     * Parses a report line.
     *
     * @param message log message with its prefix
     * @return the report
     * @throws IllegalArgumentException if the line is incomplete or malformed; the message names
     *     the problem
     */
    public static RequestReport parse(String message) {
        String[] words = message.substring(PREFIX.length()).split(" ");
        if (words.length < FIRST_FIELD_INDEX) {
            throw new IllegalArgumentException("the line has no outcome");
        }
        Fields fields = Fields.parse(words);
        return new RequestReport(
                words[ID_INDEX],
                RequestEnd.valueOf(words[OUTCOME_INDEX]),
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
                fields.textOrDefault("account", NO_ACCOUNT),
                fields.textOrDefault("route", NO_ROUTE),
                fields.optionalNumber("urgency", NO_URGENCY),
                (int) fields.numberOrDefault("waitAhead", 0),
                fields.numberOrDefault("backInMillis", NO_RETRY_MILLIS),
                fields.textOrDefault("through", DIRECT),
                fields.textOrDefault("version", NO_VERSION),
                fields.textOrDefault("boundBy", UNBOUND));
    }

    /** The key=value fields of a line. */
    private record Fields(Map<String, String> values) {
        static Fields parse(String[] words) {
            Map<String, String> values = new HashMap<>();
            for (int i = FIRST_FIELD_INDEX; i < words.length; i++) {
                int equals = words[i].indexOf('=');
                if (equals < 0) {
                    throw new IllegalArgumentException("a field has no value: " + words[i]);
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

        /** Returns a field that instances of earlier versions do not write. */
        String textOrDefault(String name, String defaultValue) {
            return values.getOrDefault(name, defaultValue);
        }

        /** Returns a field that may be absent, or have a text that stands for no number. */
        OptionalInt optionalNumber(String name, String none) {
            return textOrDefault(name, none).equals(none)
                    ? OptionalInt.empty()
                    : OptionalInt.of((int) number(name));
        }

        /** Returns a field that instances of earlier versions do not write. */
        long numberOrDefault(String name, long defaultValue) {
            return values.containsKey(name) ? number(name) : defaultValue;
        }

        long number(String name) {
            String value = text(name);
            try {
                return Long.parseLong(value);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("not a number: " + name + "=" + value, e);
            }
        }
    }
}
