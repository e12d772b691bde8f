/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.stream;

import java.time.Duration;

/**
 * The origin of a stream, as instances tell it to each other. Immutable.
 *
 * @param key the stream
 * @param origin what wrote its first event
 * @param lifetime how long its caller may still continue it
 */
public record StreamRecord(StreamKey key, StreamOrigin origin, Duration lifetime) {}
