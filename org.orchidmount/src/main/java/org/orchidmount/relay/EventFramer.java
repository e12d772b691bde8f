/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events without changing a byte, and reads
 * their ids.
 *
 * <p>Invariant: the events returned, concatenated, equal the bytes fed, except for an incomplete
 * event at the end. Confined to one thread.
 */
final class EventFramer {
    private static final String ID = "id:";

    /** Size limit of one event; events that carry tokens are far smaller. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private long mId;
    private boolean mHasId;

    /**
     * A complete event.
     *
     * @param bytes the bytes of the event, including the empty line that ends it
     * @param id the id of the event, or that of the previous event if it has none
     * @param hasId whether the event has an id of its own
     */
    record Event(byte[] bytes, long id, boolean hasId) {}

    /** Feeds bytes and returns the events that they complete. */
    List<Event> feed(byte[] part) {
        List<Event> events = new ArrayList<>();
        for (byte b : part) {
            mEvent.write(b);
            if (b != '\n') {
                if (b != '\r') {
                    mLine.write(b);
                }
                continue;
            }
            String line = mLine.toString(StandardCharsets.UTF_8);
            mLine.reset();
            if (line.startsWith(ID)) {
                readId(line.substring(ID.length()).strip());
            } else if (line.isEmpty()) {
                events.add(new Event(mEvent.toByteArray(), mId, mHasId));
                mEvent.reset();
                mHasId = false;
            }
        }
        return events;
    }

    private void readId(String text) {
        try {
            mId = Long.parseLong(text);
            mHasId = true;
        } catch (NumberFormatException ignored) {
            // A stream cannot be resumed at an id that is not a number, so the previous id is kept.
            // Not logged: this may happen with every event, and the caller receives the event
            // unchanged.
        }
    }

    /** Returns whether the bytes fed so far end with a complete event. */
    boolean isAtEventBoundary() {
        return mEvent.size() == 0;
    }

    /** Returns whether the current event exceeds the size limit. */
    boolean isOversized() {
        return mEvent.size() > MAX_EVENT_BYTES;
    }
}
