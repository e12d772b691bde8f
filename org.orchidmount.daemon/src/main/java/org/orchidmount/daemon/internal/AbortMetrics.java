/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.AbortedResponses;
import org.orchidmount.internal.http.ResponseFraming;

/** Publishes how many responses a listener has given up. Stateless and thread-safe. */
final class AbortMetrics {
    private AbortMetrics() {}

    /** Adds a figure for each cause and framing. */
    static void register(MetricRegistry metrics, String prefix, AbortedResponses aborted) {
        for (AbortCause cause : AbortCause.values()) {
            for (ResponseFraming framing : ResponseFraming.values()) {
                AbortedResponses.Key key = new AbortedResponses.Key(cause, framing);
                metrics.gauge(
                        MetricRegistry.name(prefix, "aborted", label(cause), label(framing)),
                        () -> () -> aborted.count(key));
            }
        }
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
