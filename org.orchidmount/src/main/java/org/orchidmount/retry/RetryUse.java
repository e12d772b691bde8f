/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

/**
 * Use of the limit on the retries of one service over the last window. Immutable.
 *
 * @param service name of the service
 * @param granted retries granted
 * @param allowed retries allowed by the requests known and the slack
 * @param refused retries requested and not granted
 * @param limit the limit
 */
public record RetryUse(
        String service, int granted, double allowed, int refused, RetryLimit limit) {}
