/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.RouteTableParser;

/**
 * Keeps registrations of services that the route table does not name apart until it does.
 *
 * <p>Such a registration may be another program's. Held like others it would take the place of an
 * upstream that has its identity or its address. Invariant: what waits has changed nothing.
 * Confined to the voter's thread.
 */
final class ServiceGate {
    private static final PartLog LOG = PartLog.of("voter");

    /** More upstreams than the target has, all of which may wait for the first table. */
    private static final int MAX_WAITING = 10_000;

    private final RouteTableParser mParser;
    private final Map<Key, Registration> mWaiting = new LinkedHashMap<>();

    /** The table that was committed last; null if there is none. */
    private RouteTable mTable;

    private long mRefusals;

    /** An identity may be claimed for several services, of which one is its own. */
    private record Key(String id, String service) {}

    ServiceGate(RouteTableParser parser) {
        mParser = parser;
    }

    boolean isNamed(String service) {
        return mTable != null && mTable.service(service).isPresent();
    }

    /** Takes a registration that has to wait. The ones that have waited longest give way. */
    void await(Registration registration) {
        Key key = new Key(registration.id(), registration.service());
        if (mWaiting.merge(key, registration, Registration::merge) == registration) {
            logWaiting(registration);
        }
        if (mWaiting.size() > MAX_WAITING) {
            mWaiting.remove(mWaiting.keySet().iterator().next());
        }
    }

    /** Logs the first that waits, the second, the fourth and so on, so that lines stay few. */
    private void logWaiting(Registration registration) {
        mRefusals++;
        if (mTable != null && Long.bitCount(mRefusals) == 1) {
            LOG.warn(
                    "upstream %s is not used: no service %s in table %d; name it there; %d so far",
                    registration.id(), registration.service(), mTable.version(), mRefusals);
        }
    }

    /** Forgets what waits under an identity that has left. */
    void leave(String id) {
        mWaiting.keySet().removeIf(key -> key.id().equals(id));
    }

    /**
     * Reads a committed table. May take long, so it is called on any thread but the voter's.
     *
     * @param state what is committed
     * @return the table; nothing if there is none or it cannot be read
     */
    Optional<RouteTable> read(GroupState state) {
        if (state.tableVersion() == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(mParser.parse(state.tableDocument()));
        } catch (IllegalArgumentException e) {
            LOG.error("table " + state.tableVersion() + " cannot be read", e);
            return Optional.empty();
        }
    }

    /**
     * Follows the committed table; one that was read late changes nothing.
     *
     * @param table the table
     * @return the registrations that need not wait any longer
     */
    List<Registration> follow(RouteTable table) {
        if (mTable != null && table.version() < mTable.version()) {
            return List.of();
        }
        mTable = table;
        List<Registration> named = new ArrayList<>(mWaiting.values());
        named.removeIf(registration -> !isNamed(registration.service()));
        mWaiting.keySet().removeIf(key -> isNamed(key.service()));
        return named;
    }
}
