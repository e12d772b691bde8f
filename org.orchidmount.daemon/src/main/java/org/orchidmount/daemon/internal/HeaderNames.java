/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import io.undertow.util.HttpString;

/** The names of the product's own header fields. */
final class HeaderNames {
    /** In answers: the request's fate, see {@link Outcome}. */
    static final HttpString OUTCOME = new HttpString("Orchidmount-Outcome");

    /** In answers: the id under which logs and operators know the request. */
    static final HttpString REQUEST_ID = new HttpString("Orchidmount-Request-Id");

    /** In answers: when to come back, in milliseconds. */
    static final HttpString RETRY_AFTER_MILLIS = new HttpString("Orchidmount-Retry-After-Millis");

    /** In answers and resumes: the signed token that takes up a broken stream. */
    static final HttpString RESUME = new HttpString("Orchidmount-Resume");

    /** In requests: the request class. */
    static final String REQUEST_CLASS = "Orchidmount-Class";

    /** In requests: the latest useful first token, in milliseconds from now. */
    static final String DEADLINE_MILLIS = "Orchidmount-Deadline-Millis";

    /** In requests that must run at most once: the caller's own key. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** In resumes: the id of the last event received. */
    static final String LAST_EVENT_ID = "Last-Event-ID";

    private HeaderNames() {}
}
