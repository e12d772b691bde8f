/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The rules between rows, for example that a named pool exists. Stateless and thread-safe. */
final class TableRules {
    private TableRules() {}

    /** Returns a text for each broken rule; empty if the table is sound. */
    static List<String> check(Table table) {
        List<String> problems = new ArrayList<>();
        for (ModelRow model : table.rows(ModelRow.class)) {
            requirePool(
                    table, problems, model, "prefillPool", model.prefillPool(), PoolRole.PREFILL);
            requirePool(table, problems, model, "decodePool", model.decodePool(), PoolRole.DECODE);
        }
        for (RouteRow route : table.rows(RouteRow.class)) {
            requirePool(table, problems, route, "pool", route.pool(), PoolRole.PLAIN);
        }
        for (UpstreamRow upstream : table.rows(UpstreamRow.class)) {
            checkUpstream(table, problems, upstream);
        }
        checkAccounts(table, problems);
        return problems;
    }

    private static void checkUpstream(Table table, List<String> problems, UpstreamRow upstream) {
        PoolRow pool = table.row(PoolRow.class, upstream.pool()).orElse(null);
        if (pool == null) {
            problems.add(missingPool(upstream, "pool", upstream.pool()));
            return;
        }
        if (pool.role() == PoolRole.PREFILL && upstream.prefillTokensPerSecond() == 0) {
            problems.add(
                    upstream.key()
                            + ": prefillTokensPerSecond is 0; a prefill engine needs a rate");
        }
        if (pool.role() == PoolRole.DECODE && upstream.linkBytesPerSecond() == 0) {
            problems.add(
                    upstream.key() + ": linkBytesPerSecond is 0; a decode engine needs a rate");
        }
        if (pool.role() != PoolRole.PLAIN && upstream.kvBytes() == 0) {
            problems.add(upstream.key() + ": kvBytes is 0; a model engine needs memory");
        }
    }

    private static void checkAccounts(Table table, List<String> problems) {
        Map<String, String> accountByKey = new HashMap<>();
        for (AccountRow account : table.rows(AccountRow.class)) {
            if (table.row(ClassRow.class, account.requestClass()).isEmpty()) {
                problems.add(
                        account.key()
                                + ": requestClass names '"
                                + account.requestClass()
                                + "', which does not exist; add the class first");
            }
            String other = accountByKey.put(account.keySha256(), account.name());
            if (other != null) {
                problems.add(account.key() + ": keySha256 is that of account " + other);
            }
        }
    }

    private static void requirePool(
            Table table, List<String> problems, Row row, String field, String name, PoolRole role) {
        PoolRow pool = table.row(PoolRow.class, name).orElse(null);
        if (pool == null) {
            problems.add(missingPool(row, field, name));
        } else if (pool.role() != role) {
            problems.add(
                    row.key()
                            + ": "
                            + field
                            + " names a pool of role "
                            + pool.role()
                            + "; name one of role "
                            + role);
        }
    }

    private static String missingPool(Row row, String field, String name) {
        return row.key()
                + ": "
                + field
                + " names '"
                + name
                + "', which does not exist; add the pool first";
    }
}
