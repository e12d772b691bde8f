/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.orchidmount.membership.Registration;

/**
 * Index of the upstreams of a directory by id and by service, so that a choice examines the
 * upstreams of one service only.
 *
 * <p>Invariant: each upstream is indexed under the service of its registration, and under no other.
 * Not thread-safe: guarded by the directory's lock.
 */
final class UpstreamIndex {
    private final Map<String, Upstream> mById = new HashMap<>();
    private final Map<String, Map<String, Upstream>> mByService = new HashMap<>();

    /** Returns the upstream with an id; null if there is none. */
    Upstream get(String id) {
        return mById.get(id);
    }

    int size() {
        return mById.size();
    }

    /** Returns all upstreams of a service, including those that are not available. */
    Collection<Upstream> ofService(String service) {
        return mByService.getOrDefault(service, Map.of()).values();
    }

    /** Adds an upstream, replacing the one that had the same id. */
    void put(Upstream upstream) {
        Upstream before = mById.put(upstream.registration().id(), upstream);
        if (before != null) {
            removeFromService(before, before.registration().service());
        }
        addToService(upstream);
    }

    /**
     * Applies a registration to an indexed upstream, and moves the upstream if its service has
     * changed.
     */
    void update(Upstream upstream, Registration registration) {
        String before = upstream.registration().service();
        upstream.update(registration);
        if (!upstream.registration().service().equals(before)) {
            removeFromService(upstream, before);
            addToService(upstream);
        }
    }

    void removeIf(Predicate<Upstream> filter) {
        mById.values().removeIf(filter);
        mByService.values().forEach(upstreams -> upstreams.values().removeIf(filter));
        mByService.values().removeIf(Map::isEmpty);
    }

    private void addToService(Upstream upstream) {
        Registration registration = upstream.registration();
        mByService
                .computeIfAbsent(registration.service(), service -> new HashMap<>())
                .put(registration.id(), upstream);
    }

    private void removeFromService(Upstream upstream, String service) {
        Map<String, Upstream> upstreams = mByService.get(service);
        upstreams.remove(upstream.registration().id());
        if (upstreams.isEmpty()) {
            mByService.remove(service);
        }
    }
}
