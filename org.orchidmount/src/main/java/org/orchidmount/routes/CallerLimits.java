/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.time.Duration;

/**
 * What callers may send.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body
 * @param headerTimeout the longest time for a head
 * @param idleTimeout how long a connection may rest
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
