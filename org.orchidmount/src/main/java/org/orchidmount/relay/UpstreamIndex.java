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
 * The upstreams of a directory, by identity and by service, so that a choice looks at those of one
 * service only.
 *
 * <p>Invariant: each upstream stands under the service of its registration, and under no other. Not
 * thread-safe: guarded by the directory's lock.
 */
final class UpstreamIndex {
    private final Map<String, Upstream> mById = new HashMap<>();
    private final Map<String, Map<String, Upstream>> mByService = new HashMap<>();

    /** Returns the upstream of an identity; null if there is none. */
    Upstream get(String id) {
        return mById.get(id);
    }

    int size() {
        return mById.size();
    }

    /** Returns all upstreams of a service, also those that take no work. */
    Collection<Upstream> ofService(String service) {
        return mByService.getOrDefault(service, Map.of()).values();
    }

    /** Adds an upstream in place of the one that had its identity before. */
    void put(Upstream upstream) {
        Upstream before = mById.put(upstream.registration().id(), upstream);
        if (before != null) {
            removeFromService(before, before.registration().service());
        }
        addToService(upstream);
    }

    /** Passes a registration to an upstream that was added. */
    void update(Upstream upstream, Registration registration) {
        String before = upstream.registration().service();
        upstream.update(registration);
        if (!upstream.registration().service().equals(before)) {
            removeFromService(upstream, before);
            addToService(upstream);
        }
    }

    void removeIf(Predicate<Upstream> isForgotten) {
        mById.values().removeIf(isForgotten);
        mByService.values().forEach(upstreams -> upstreams.values().removeIf(isForgotten));
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
