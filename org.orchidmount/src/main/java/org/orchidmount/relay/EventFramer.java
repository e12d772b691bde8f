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
 * Cuts a stream of server-sent events into whole events, byte for byte, and reads their ids.
 *
 * <p>Invariant: the events returned, joined, are the bytes fed, but for an unfinished event at the
 * end. Confined to one thread.
 */
final class EventFramer {
    private static final String ID = "id:";

    /** Far more than an event of tokens has. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private long mId;
    private boolean mIsNumbered;

    /**
     * A whole event.
     *
     * @param bytes its bytes with the empty line that ends it
     * @param id its id, or that of the event before if it has none
     * @param isNumbered whether it states an id of its own
     */
    record Event(byte[] bytes, long id, boolean isNumbered) {}

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
                events.add(new Event(mEvent.toByteArray(), mId, mIsNumbered));
                mEvent.reset();
                mIsNumbered = false;
            }
        }
        return events;
    }

    private void readId(String text) {
        try {
            mId = Long.parseLong(text);
            mIsNumbered = true;
        } catch (NumberFormatException ignored) {
            // A stream cannot be resumed at an id that is no number, so the one before stands.
            // Not logged: it may happen with each event, and the caller gets the event unchanged.
        }
    }

    /** Tells whether the stream stands between two events. */
    boolean isBetweenEvents() {
        return mEvent.size() == 0;
    }

    /** Tells whether an event has grown beyond all bounds. */
    boolean isOverfull() {
        return mEvent.size() > MAX_EVENT_BYTES;
    }
}
