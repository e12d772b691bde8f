/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Parser of the header field Retry-After in a refusal. It accepts seconds, including fractions. A
 * date is not accepted, since it would be compared with the clock of another machine. Stateless and
 * thread-safe.
 */
public final class RetryAfterField {
    /** Bounds the digits; longer numbers carry no further information. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private RetryAfterField() {}

    /**
     * Reads the pause from the head of a response.
     *
     * @param response head of the response
     * @return the requested pause; none unless the status is that of a refusal
     */
    public static PauseStatement read(ClientResponse response) {
        HeaderValues values = response.getResponseHeaders().get(Headers.RETRY_AFTER);
        if (values == null || !isRefusal(response.getResponseCode())) {
            return PauseStatement.NONE;
        }
        String text = String.join(", ", values);
        return SECONDS.matcher(text).matches()
                ? new PauseStatement.Lasting(seconds(Double.parseDouble(text)))
                : new PauseStatement.Unreadable(text);
    }

    /** With other statuses the field is meant for the caller. */
    private static boolean isRefusal(int status) {
        return status == StatusCodes.SERVICE_UNAVAILABLE || status == StatusCodes.TOO_MANY_REQUESTS;
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos((long) (seconds * TimeUnit.SECONDS.toNanos(1)));
    }
}
