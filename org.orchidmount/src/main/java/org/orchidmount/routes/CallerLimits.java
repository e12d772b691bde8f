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
 * @param maxBodyBytes the largest body
 * @param idleTimeout how long a body may pause
 */
public record CallerLimits(long maxBodyBytes, Duration idleTimeout) {}
