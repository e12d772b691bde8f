/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.upstream.CancelSignal;

/**
 * The registry of the requests in progress on this instance. Thread-safe.
 *
 * <p>Invariant: a request is listed from its acceptance until its answer has ended.
 */
public final class RequestBoard {
    private final OrderedLock mLock = new OrderedLock(LockRank.REQUESTS);
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();

    /**
     * Adds a request.
     *
     * @param view what is known of it
     * @param cancel breaks it off
     */
    public void add(RequestView view, CancelSignal cancel) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mEntries.put(view.id(), new Entry(view, cancel));
        }
    }

    /**
     * Notes where a request has got to.
     *
     * @param id the request
     * @param phase its phase
     * @param prefill its prefill engine, empty if none yet
     * @param decode its decode engine or plain service instance, empty if none yet
     */
    public void update(String id, String phase, String prefill, String decode) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mEntries.computeIfPresent(
                    id,
                    (key, entry) ->
                            new Entry(entry.view().at(phase, prefill, decode), entry.cancel()));
        }
    }

    /**
     * Removes a request that has ended.
     *
     * @param id the request
     */
    public void remove(String id) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mEntries.remove(id);
        }
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number
     */
    public int size() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mEntries.size();
        }
    }

    /**
     * Lists the requests in progress, oldest first.
     *
     * @return the requests
     */
    public List<RequestView> list() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mEntries.values().stream().map(Entry::view).toList();
        }
    }

    /** Breaks off every request in progress, at the end of a planned stop's limit. */
    public void cancelAll() {
        List<CancelSignal> signals = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            mEntries.values().forEach(entry -> signals.add(entry.cancel()));
        }
        signals.forEach(signal -> signal.cancel(CancelSignal.Reason.INSTANCE_STOPPING));
    }

    private record Entry(RequestView view, CancelSignal cancel) {}

    /**
     * What operators see of a request. Immutable.
     *
     * @param id the request's id
     * @param account its client account
     * @param requestClass its class
     * @param target its model or route
     * @param phase where it has got to
     * @param prefill its prefill engine, empty if none
     * @param decode its decode engine or plain service instance, empty if none
     * @param arrivedNanos when it arrived, in monotonic time
     */
    public record RequestView(
            String id,
            String account,
            String requestClass,
            String target,
            String phase,
            String prefill,
            String decode,
            long arrivedNanos) {
        private RequestView at(String newPhase, String newPrefill, String newDecode) {
            return new RequestView(
                    id,
                    account,
                    requestClass,
                    target,
                    newPhase,
                    newPrefill,
                    newDecode,
                    arrivedNanos);
        }
    }
}
