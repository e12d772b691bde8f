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
 * Reads the header field Retry-After in a refusal. It states seconds, fractions included. A date is
 * not read, since it would be compared with another machine's clock. Stateless and thread-safe.
 */
public final class RetryAfterField {
    /** Longer numbers say nothing more. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    private RetryAfterField() {}

    /**
     * Reads the head of a response.
     *
     * @param response the head
     * @return the pause that it asks for; none unless its status is that of a refusal
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

    /** With other statuses the field is for the caller. */
    private static boolean isRefusal(int status) {
        return status == StatusCodes.SERVICE_UNAVAILABLE || status == StatusCodes.TOO_MANY_REQUESTS;
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos((long) (seconds * TimeUnit.SECONDS.toNanos(1)));
    }
}
