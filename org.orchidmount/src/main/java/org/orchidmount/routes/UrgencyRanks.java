/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * The ranks of urgency of the requests that each service of a route table can receive. Pure,
 * immutable and thread-safe.
 *
 * <p>A request is ordered first by the priority of its account, or that of its route if the account
 * states none, and then by the priority of its route. The distinct pairs that a service can receive
 * get the ranks 0, 1, ... in this order.
 *
 * <p>Invariants: a service that can receive only one pair has no ranks; the rank of a request
 * depends on the order of the priorities only, not on their values.
 */
final class UrgencyRanks {
    /** Last rank, since engines accept priorities from 0 to 9; all further pairs share it. */
    static final int LAST_RANK = 9;

    private static final Comparator<Pair> MOST_URGENT_FIRST =
            Comparator.comparingInt(Pair::accountPriority).thenComparingInt(Pair::routePriority);

    private final Map<String, List<Pair>> mPairsByService;

    /**
     * The priorities that determine the urgency of a request.
     *
     * @param accountPriority priority of the account; that of the route if the account states none
     * @param routePriority priority of the route
     */
    private record Pair(int accountPriority, int routePriority) {
        static Pair of(Route route, Optional<ClientAccount> account) {
            OptionalInt accountPriority =
                    account.map(ClientAccount::priority).orElse(OptionalInt.empty());
            return new Pair(accountPriority.orElse(route.priority()), route.priority());
        }
    }

    private UrgencyRanks(Map<String, List<Pair>> pairsByService) {
        mPairsByService = Map.copyOf(pairsByService);
    }

    /**
     * Determines the ranks of all services.
     *
     * @param routes the routes of a table
     * @param accounts the accounts of the table
     * @return the ranks
     */
    static UrgencyRanks of(List<Route> routes, ClientAccounts accounts) {
        Map<String, TreeSet<Pair>> pairsByService = new HashMap<>();
        for (Route route : routes) {
            List<Pair> pairs = pairs(route, accounts);
            for (Route.Destination destination : route.destinations()) {
                if (destination.weight() > 0) {
                    pairsByService
                            .computeIfAbsent(
                                    destination.service(),
                                    service -> new TreeSet<>(MOST_URGENT_FIRST))
                            .addAll(pairs);
                }
            }
        }
        Map<String, List<Pair>> different = new HashMap<>();
        pairsByService.forEach(
                (service, pairs) -> {
                    if (pairs.size() > 1) {
                        different.put(service, List.copyOf(pairs));
                    }
                });
        return new UrgencyRanks(different);
    }

    /** Returns the pairs of all requests that {@link AccessRule} allows on a route. */
    private static List<Pair> pairs(Route route, ClientAccounts accounts) {
        List<Pair> pairs = new ArrayList<>();
        if (accounts.isEmpty() || route.isPublic()) {
            pairs.add(Pair.of(route, Optional.empty()));
        }
        accounts.withKeys().forEach(account -> pairs.add(Pair.of(route, Optional.of(account))));
        return pairs;
    }

    /**
     * Returns the rank of a request.
     *
     * @param service name of the service
     * @param route route of the request
     * @param account account of the request, if any
     * @return the rank, 0 being the most urgent; empty if the service can receive only one pair, or
     *     never receives the pair of the request
     */
    OptionalInt rank(String service, Route route, Optional<ClientAccount> account) {
        int index =
                mPairsByService.getOrDefault(service, List.of()).indexOf(Pair.of(route, account));
        return index < 0 ? OptionalInt.empty() : OptionalInt.of(Math.min(index, LAST_RANK));
    }
}
