/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;

/**
 * Index of the upstreams of a directory by id, by address and by service, so that a choice examines
 * the upstreams of one service only.
 *
 * <p>Invariants: each upstream is indexed under the service of its registration, and under no
 * other; an address belongs to the upstream that registered there last and is not gone. Not
 * thread-safe: guarded by the directory's lock.
 */
final class UpstreamIndex {
    /**
     * Upstreams beyond which those that have left are forgotten; half the number of upstreams for
     * which the system is designed.
     */
    private static final int REMOVAL_THRESHOLD = 4_096;

    private final Map<String, String> mIdByAddress = new HashMap<>();
    private final Map<String, Upstream> mById = new HashMap<>();
    private final Map<String, Map<String, Upstream>> mByService = new HashMap<>();

    /** Applies a registration; returns the incarnation that it ends, if any. */
    Optional<Upstream> apply(Registration registration) {
        Upstream known = mById.get(registration.id());
        if (known == null || isNewIncarnation(registration, known)) {
            add(registration);
            return Optional.ofNullable(known);
        }
        Incarnation before = known.incarnation();
        update(known, registration);
        if (!known.incarnation().equals(before)) {
            mIdByAddress.put(registration.address(), registration.id());
        }
        if (known.isGone()) {
            releaseAddress(known);
        }
        return Optional.empty();
    }

    /**
     * An upstream that has left may be followed by an incarnation with an earlier start, if the
     * registry has removed it in between.
     */
    private static boolean isNewIncarnation(Registration registration, Upstream known) {
        Incarnation incarnation = registration.incarnation();
        boolean isOther = !incarnation.equals(known.incarnation());
        return isOther && (incarnation.supersedes(known.incarnation()) || known.isGone());
    }

    private void add(Registration registration) {
        if (mById.size() > REMOVAL_THRESHOLD) {
            removeIf(upstream -> !upstream.isReady());
        }
        put(new Upstream(registration));
        mIdByAddress.put(registration.address(), registration.id());
    }

    /**
     * Gives the address of an upstream that has gone to another one that is registered there. A
     * heartbeat that arrives after its sender has crashed may have taken the address from the
     * upstream that uses it now.
     */
    void releaseAddress(Upstream gone) {
        String address = gone.registration().address();
        if (!gone.registration().id().equals(mIdByAddress.get(address))) {
            return;
        }
        mById.values().stream()
                .filter(upstream -> upstream.isReady())
                .filter(upstream -> upstream.registration().address().equals(address))
                .findFirst()
                .ifPresent(owner -> mIdByAddress.put(address, owner.registration().id()));
    }

    /** Returns whether an address belongs to an upstream or to none. */
    boolean mayOwn(String id, String address) {
        return mIdByAddress.getOrDefault(address, id).equals(id);
    }

    /** Returns the upstreams that are available according to their registrations. */
    Stream<Upstream> available(String service, Stage stage) {
        return ofService(service).stream()
                .filter(upstream -> upstream.isReady() && upstream.serves(service, stage))
                .filter(this::ownsAddress);
    }

    /** A crashed upstream announces nothing, but its successor takes over its address. */
    private boolean ownsAddress(Upstream upstream) {
        Registration registration = upstream.registration();
        return registration.id().equals(mIdByAddress.get(registration.address()));
    }

    /** Returns the upstream that an address belongs to. */
    Optional<Upstream> at(String address) {
        return Optional.ofNullable(mIdByAddress.get(address)).map(mById::get);
    }

    /** Returns whether an upstream is registered at an address. */
    boolean hasAddress(String address) {
        return mIdByAddress.containsKey(address);
    }

    /**
     * Returns a random sample of the available upstreams, of each service in turn and of different
     * availability zones where possible.
     */
    List<Upstream> sample(int most, RandomGenerator random) {
        List<List<Upstream>> services = new ArrayList<>();
        for (Map<String, Upstream> upstreams : mByService.values()) {
            List<Upstream> available = new ArrayList<>();
            for (Upstream upstream : upstreams.values()) {
                if (upstream.isReady() && ownsAddress(upstream)) {
                    available.add(upstream);
                }
            }
            Collections.shuffle(available, random);
            services.add(available);
        }
        Collections.shuffle(services, random);
        List<Upstream> sample = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        while (sample.size() < most && services.stream().anyMatch(each -> !each.isEmpty())) {
            for (List<Upstream> service : services) {
                if (!service.isEmpty() && sample.size() < most) {
                    sample.add(removeInNewZone(service, zones));
                }
            }
        }
        return sample;
    }

    private static Upstream removeInNewZone(List<Upstream> upstreams, Set<String> zones) {
        for (int i = 0; i < upstreams.size(); i++) {
            if (zones.add(upstreams.get(i).registration().zone())) {
                return upstreams.remove(i);
            }
        }
        return upstreams.removeLast();
    }

    /** Returns all upstreams. */
    Collection<Upstream> all() {
        return mById.values();
    }

    /** Returns all upstreams of a service, including those that are not available. */
    Collection<Upstream> ofService(String service) {
        return mByService.getOrDefault(service, Map.of()).values();
    }

    /** Adds an upstream, replacing the one that had the same id. */
    private void put(Upstream upstream) {
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
    private void update(Upstream upstream, Registration registration) {
        String before = upstream.registration().service();
        upstream.update(registration);
        if (!upstream.registration().service().equals(before)) {
            removeFromService(upstream, before);
            addToService(upstream);
        }
    }

    private void removeIf(Predicate<Upstream> filter) {
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
