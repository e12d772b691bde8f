/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders the waiting requests of one service: fair queueing with ageing. Pure.
 *
 * <p>The key of a request is the time at which it arrived, plus half of its own time budget for
 * each rank of urgency, plus one service interval for each request of the same account ahead of it.
 * The request with the lowest key is first. Keys do not change while a request waits, except that
 * they decrease when a request of the same account ahead leaves; a request that has waited long
 * enough is therefore ahead of every later one, whatever their urgency and account.
 *
 * <p>The time budget is taken from the announcement instead of from the reader's own route, so that
 * all entries compute the same key: requests of different routes would otherwise each let the other
 * go first.
 */
public final class WaitOrder {
    /** Fraction of the time budget by which one rank of urgency delays a request. */
    private static final double RANK_SHARE = 0.5;

    private static final Comparator<Keyed> BY_KEY =
            Comparator.comparingDouble(Keyed::keyMillis).thenComparing(keyed -> keyed.request.id());

    private WaitOrder() {}

    private record Keyed(WaitingRequest request, double keyMillis) {}

    /**
     * Sorts waiting requests.
     *
     * @param requests the requests, all seen at the same time
     * @param serviceIntervalMillis mean time between two requests that find room
     * @return the requests, first to be placed first
     */
    public static List<WaitingRequest> sort(
            List<WaitingRequest> requests, double serviceIntervalMillis) {
        List<Keyed> keyed = new ArrayList<>(requests.size());
        for (WaitingRequest request : requests) {
            keyed.add(new Keyed(request, ownKeyMillis(request)));
        }
        keyed.sort(BY_KEY);
        Map<String, Integer> aheadByAccount = new HashMap<>();
        keyed.replaceAll(
                one -> {
                    int ahead = sameAccountAhead(one.request, aheadByAccount);
                    return new Keyed(one.request, one.keyMillis + ahead * serviceIntervalMillis);
                });
        keyed.sort(BY_KEY);
        return keyed.stream().map(Keyed::request).toList();
    }

    /**
     * Returns the requests ahead of one request.
     *
     * @param requests the waiting requests; may contain the request itself
     * @param own the request
     * @param serviceIntervalMillis mean time between two requests that find room
     * @return the requests ahead, first to be placed first
     */
    public static List<WaitingRequest> ahead(
            List<WaitingRequest> requests, WaitingRequest own, double serviceIntervalMillis) {
        List<WaitingRequest> all = new ArrayList<>(requests);
        all.removeIf(other -> other.id().equals(own.id()));
        all.add(own);
        List<WaitingRequest> sorted = sort(all, serviceIntervalMillis);
        return sorted.subList(0, sorted.indexOf(own));
    }

    /** Counts requests without an account as one account each. */
    private static int sameAccountAhead(
            WaitingRequest request, Map<String, Integer> aheadByAccount) {
        if (request.account().isEmpty()) {
            return 0;
        }
        return aheadByAccount.merge(request.account(), 1, Integer::sum) - 1;
    }

    private static double ownKeyMillis(WaitingRequest request) {
        double budgetMillis = Math.max(0, request.waitedMillis() + request.remainingMillis());
        return RANK_SHARE * budgetMillis * request.urgency() - request.waitedMillis();
    }
}
