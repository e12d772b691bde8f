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
import java.util.function.Consumer;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.RouteTableParser;

/**
 * Holds back registrations of services that the route table does not name until it names them.
 *
 * <p>Such a registration may belong to another program; if applied, it would replace an upstream
 * with the same identity or address. Invariant: a registration that is held back has no effect.
 * Confined to the voter's thread.
 */
final class ServiceGate {
    private static final PartLog LOG = PartLog.of("voter");

    /**
     * Maximum number of registrations held back; more than the upstreams of the target deployment,
     * which may all be held back until the first table.
     */
    private static final int MAX_HELD_BACK = 10_000;

    private final RouteTableParser mParser;
    private final Map<Key, Registration> mHeldBack = new LinkedHashMap<>();

    /** Last committed table; null if there is none. */
    private RouteTable mTable;

    private long mHeldBackCount;

    /**
     * Key of a registration held back: several services may be registered under one identity, of
     * which only one belongs to the upstream.
     */
    private record Key(String id, String service) {}

    ServiceGate(RouteTableParser parser) {
        mParser = parser;
    }

    boolean isNamed(String service) {
        return mTable != null && mTable.service(service).isPresent();
    }

    /** Holds back a registration. The oldest ones are dropped when there are too many. */
    void holdBack(Registration registration) {
        Key key = new Key(registration.id(), registration.service());
        if (mHeldBack.merge(key, registration, Registration::merge) == registration) {
            logHeldBack(registration);
        }
        if (mHeldBack.size() > MAX_HELD_BACK) {
            mHeldBack.remove(mHeldBack.keySet().iterator().next());
        }
    }

    /**
     * Logs the first, second, fourth, eighth and so on registration held back, to bound the log
     * volume.
     */
    private void logHeldBack(Registration registration) {
        mHeldBackCount++;
        if (mTable != null && Long.bitCount(mHeldBackCount) == 1) {
            LOG.warn(
                    "upstream %s is not used: its service %s is not in table %d; add it there"
                            + " (%d held back so far)",
                    registration.id(), registration.service(), mTable.version(), mHeldBackCount);
        }
    }

    /** Drops the registrations held back under an identity that has left. */
    void remove(String id) {
        mHeldBack.keySet().removeIf(key -> key.id().equals(id));
    }

    /**
     * Parses a committed table on another thread: the first takes some 0.3 s, longer than a
     * leader's pause.
     *
     * @param state the committed state
     * @param receiver receives the table on that thread, unless there is none
     */
    void parseLater(GroupState state, Consumer<RouteTable> receiver) {
        Thread.ofVirtual().name("services").start(() -> parse(state).ifPresent(receiver));
    }

    /**
     * Parses a committed table. This may take long, so it is not called on the voter's thread.
     *
     * @param state the committed state
     * @return the table, or empty if there is none or it cannot be parsed
     */
    Optional<RouteTable> parse(GroupState state) {
        if (state.tableVersion() == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(mParser.parse(state.tableDocument()));
        } catch (IllegalArgumentException e) {
            LOG.error(
                    "table "
                            + state.tableVersion()
                            + " cannot be parsed; the known services stay as they are",
                    e);
            return Optional.empty();
        }
    }

    /**
     * Applies a committed table; ignores one older than the last, since tables are parsed
     * concurrently.
     *
     * @param table the table
     * @return the registrations that are no longer held back
     */
    List<Registration> apply(RouteTable table) {
        if (mTable != null && table.version() < mTable.version()) {
            return List.of();
        }
        mTable = table;
        List<Registration> released = new ArrayList<>(mHeldBack.values());
        released.removeIf(registration -> !isNamed(registration.service()));
        mHeldBack.keySet().removeIf(key -> isNamed(key.service()));
        return released;
    }
}
