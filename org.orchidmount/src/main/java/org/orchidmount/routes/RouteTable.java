/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * All routes and services of one configuration version. Immutable and thread-safe.
 *
 * <p>Invariant: no two routes have the same host and path prefix; every destination names a service
 * of the table.
 */
public final class RouteTable {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, Service> mServices;
    private final CallerLimits mLimits;
    private final ClientAccounts mAccounts;
    private final UrgencyRanks mUrgencyRanks;

    /**
     * Creates a table.
     *
     * @param version version of the table
     * @param routes the routes
     * @param services the services by name
     * @param limits limits on callers' request bodies
     * @param accounts the client accounts
     * @throws IllegalArgumentException if the invariant is violated, or a route has no positive
     *     timeout, a negative weight or no positive weight; the message names the route
     */
    public RouteTable(
            long version,
            List<Route> routes,
            Map<String, Service> services,
            CallerLimits limits,
            ClientAccounts accounts) {
        mVersion = version;
        mAccounts = accounts;
        mServices = Map.copyOf(services);
        mLimits = limits;
        for (Route route : routes) {
            check(route);
            mRoutesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        mUrgencyRanks = UrgencyRanks.of(routes, accounts);
        mRoutesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    private void check(Route route) {
        int totalWeight = 0;
        for (Route.Destination destination : route.destinations()) {
            if (!mServices.containsKey(destination.service())) {
                throw new IllegalArgumentException(
                        "route "
                                + route.name()
                                + ": service "
                                + destination.service()
                                + " is not defined; add it to the services");
            }
            if (destination.weight() < 0) {
                throw new IllegalArgumentException(
                        "route " + route.name() + ": a weight is negative");
            }
            totalWeight += destination.weight();
        }
        if (totalWeight <= 0) {
            throw new IllegalArgumentException(
                    "route " + route.name() + ": no destination has a weight above 0");
        }
        if (!route.timeout().isPositive()) {
            throw new IllegalArgumentException(
                    "route " + route.name() + ": the timeout must be above 0");
        }
        boolean isDuplicate =
                mRoutesByHost.getOrDefault(route.host(), List.of()).stream()
                        .anyMatch(other -> other.pathPrefix().equals(route.pathPrefix()));
        if (isDuplicate) {
            throw new IllegalArgumentException(
                    "route " + route.name() + ": another route has the same host and path prefix");
        }
    }

    /**
     * Returns the version of the table.
     *
     * @return the version number
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the limits on callers' request bodies.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return mLimits;
    }

    /**
     * Returns the client accounts.
     *
     * @return the accounts; empty if requests need no key
     */
    public ClientAccounts accounts() {
        return mAccounts;
    }

    /**
     * Returns a service.
     *
     * @param name name of the service
     * @return the service; empty if the table has none of that name
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the services, in no particular order
     */
    public Collection<Service> services() {
        return mServices.values();
    }

    /**
     * Returns the rank of urgency of a request among those that its service can receive.
     *
     * @param service name of the service
     * @param route route of the request
     * @param account account of the request, if any
     * @return the rank from 0 (most urgent) to 9; empty if urgency is not in force for the service
     */
    public OptionalInt urgency(String service, Route route, Optional<ClientAccount> account) {
        return mUrgencyRanks.rank(service, route, account);
    }

    /**
     * Returns the route of a request: among the routes of its host, the one with the longest
     * matching path prefix.
     *
     * @param host host without port, in any case
     * @param path path as sent by the caller
     * @return the route; empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        List<Route> routes = mRoutesByHost.get(host.toLowerCase(Locale.ROOT));
        if (routes == null) {
            return Optional.empty();
        }
        return routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
    }
}
