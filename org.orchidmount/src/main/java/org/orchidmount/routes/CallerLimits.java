/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.time.Duration;

/**
 * Limits on the request bodies that callers send.
 *
 * @param maxBodyBytes maximum size of a body
 * @param idleTimeout maximum time without new data while a body is received
 */
public record CallerLimits(long maxBodyBytes, Duration idleTimeout) {}
