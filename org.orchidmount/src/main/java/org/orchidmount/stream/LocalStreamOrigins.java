/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.stream;

import java.time.Duration;
import java.util.Optional;

/**
 * The origins of the streams that began at this instance, of a site without others. Thread-safe.
 */
public final class LocalStreamOrigins implements StreamOrigins {
    private final StreamRegistry mStreams;

    /**
     * Creates an instance.
     *
     * @param streams the registry that holds the origins
     */
    public LocalStreamOrigins(StreamRegistry streams) {
        mStreams = streams;
    }

    @Override
    public void begun(String requestId, StreamOrigin origin, Duration lifetime) {
        mStreams.add(new StreamRecord(StreamKey.of(requestId), origin, lifetime));
    }

    @Override
    public Optional<StreamOrigin> find(String requestId) {
        return mStreams.find(StreamKey.of(requestId)).map(StreamRecord::origin);
    }

    @Override
    public boolean knowsAllUpstreams() {
        return true;
    }
}
