/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.RunNews;

/**
 * What all requests share.
 *
 * @param book the upstreams
 * @param extras the attempts beyond the first
 * @param sizes the lengths of answers
 * @param entries how many instances share the limits
 * @param connections connections to upstreams
 * @param protocol what upstreams speak
 * @param clock the clock
 */
record RelayParts(
        UpstreamBook book,
        ExtraAttempts extras,
        AnswerSizes sizes,
        ReturningRequests returning,
        EngineLoads loads,
        RunNews news,
        IntSupplier entries,
        HttpConnections connections,
        UpstreamProtocol protocol,
        MonotonicClock clock) {}
