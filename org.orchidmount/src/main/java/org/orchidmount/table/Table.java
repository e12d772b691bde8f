/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One revision of the operators' table with the look-ups that routing needs. Immutable.
 *
 * <p>Invariant: each table that {@link #apply} returns as accepted obeys {@link TableRules}.
 */
public final class Table {
    private static final Table EMPTY = new Table(0, emptyRows(), Map.of());

    private final long mRevision;
    private final Map<RowKind, TreeMap<String, VersionedRow>> mRows;

    /** Versions of deleted rows, so that a row put again does not repeat a version. */
    private final Map<RowKey, VersionedRow> mDeleted;

    private final Map<String, AccountRow> mAccountsByKey = new HashMap<>();
    private final Map<String, List<UpstreamRow>> mUpstreamsByPool = new HashMap<>();
    private final List<RouteRow> mRoutesLongestFirst = new ArrayList<>();

    private Table(
            long revision,
            Map<RowKind, TreeMap<String, VersionedRow>> rows,
            Map<RowKey, VersionedRow> deleted) {
        mRevision = revision;
        mRows = rows;
        mDeleted = deleted;
        for (AccountRow account : rows(AccountRow.class)) {
            mAccountsByKey.put(account.keySha256(), account);
        }
        for (UpstreamRow upstream : rows(UpstreamRow.class)) {
            mUpstreamsByPool
                    .computeIfAbsent(upstream.pool(), pool -> new ArrayList<>())
                    .add(upstream);
        }
        mRoutesLongestFirst.addAll(rows(RouteRow.class));
        mRoutesLongestFirst.sort(
                (a, b) -> Integer.compare(b.pathPrefix().length(), a.pathPrefix().length()));
    }

    /**
     * Returns the table without rows, at revision 0.
     *
     * @return the table
     */
    public static Table empty() {
        return EMPTY;
    }

    /**
     * Returns the revision: the number of changes accepted so far.
     *
     * @return the revision
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns the rows of one kind in the order of their names.
     *
     * @param type the row type
     * @param <T> the row type
     * @return the rows
     */
    public <T extends Row> List<T> rows(Class<T> type) {
        List<T> rows = new ArrayList<>();
        for (VersionedRow versioned : versioned(kindOf(type))) {
            rows.add(type.cast(versioned.row()));
        }
        return rows;
    }

    /**
     * Finds a row.
     *
     * @param type the row type
     * @param name the row's name
     * @param <T> the row type
     * @return the row, if it exists
     */
    public <T extends Row> Optional<T> row(Class<T> type, String name) {
        VersionedRow versioned = mRows.get(kindOf(type)).get(name);
        return Optional.ofNullable(versioned).map(v -> type.cast(v.row()));
    }

    /**
     * Returns the rows of one kind with their versions, in the order of their names.
     *
     * @param kind the kind
     * @return the rows
     */
    public Collection<VersionedRow> versioned(RowKind kind) {
        return Collections.unmodifiableCollection(mRows.get(kind).values());
    }

    /**
     * Finds a row with its version.
     *
     * @param key the row
     * @return the row, if it exists
     */
    public Optional<VersionedRow> versioned(RowKey key) {
        return Optional.ofNullable(mRows.get(key.kind()).get(key.name()));
    }

    /**
     * Finds the account that a key belongs to.
     *
     * @param keySha256 the hash of the key
     * @return the account, if there is one
     */
    public Optional<AccountRow> accountByKey(String keySha256) {
        return Optional.ofNullable(mAccountsByKey.get(keySha256));
    }

    /**
     * Returns the upstreams of a pool in the order of their names.
     *
     * @param pool the pool's name
     * @return the upstreams
     */
    public List<UpstreamRow> upstreamsOf(String pool) {
        return Collections.unmodifiableList(mUpstreamsByPool.getOrDefault(pool, List.of()));
    }

    /**
     * Finds the route that covers a request: the one with the longest prefix.
     *
     * @param method the HTTP method
     * @param path the path without query
     * @return the route, if one covers it
     */
    public Optional<RouteRow> route(String method, String path) {
        return mRoutesLongestFirst.stream().filter(route -> route.covers(method, path)).findFirst();
    }

    /**
     * Applies a change. This table stays as it is.
     *
     * @param change the change
     * @return the next table, or why there is none
     */
    public Applied apply(Change change) {
        Map<RowKind, TreeMap<String, VersionedRow>> rows = new EnumMap<>(RowKind.class);
        mRows.forEach((kind, byName) -> rows.put(kind, new TreeMap<>(byName)));
        Map<RowKey, VersionedRow> deleted = new HashMap<>(mDeleted);
        for (Edit edit : change.edits()) {
            VersionedRow present = rows.get(edit.key().kind()).get(edit.key().name());
            VersionedRow last = present != null ? present : deleted.get(edit.key());
            long actual = present == null ? 0 : present.version();
            if (edit.expectedVersion() != Edit.ANY_VERSION && edit.expectedVersion() != actual) {
                return new Applied(this, conflict(change, edit, actual, last));
            }
            applyEdit(change, edit, last, rows, deleted);
        }
        Table next = new Table(mRevision + 1, rows, deleted);
        List<String> problems = TableRules.check(next);
        if (!problems.isEmpty()) {
            return new Applied(this, new ChangeResult.Invalid(change.id(), problems));
        }
        return new Applied(next, new ChangeResult.Accepted(change.id(), next.revision()));
    }

    private static void applyEdit(
            Change change,
            Edit edit,
            VersionedRow last,
            Map<RowKind, TreeMap<String, VersionedRow>> rows,
            Map<RowKey, VersionedRow> deleted) {
        long version = last == null ? 1 : last.version() + 1;
        TreeMap<String, VersionedRow> byName = rows.get(edit.key().kind());
        switch (edit) {
            case Edit.Put put -> {
                byName.put(
                        put.row().name(),
                        new VersionedRow(put.row(), version, change.id(), change.author()));
                deleted.remove(put.key());
            }
            case Edit.Delete delete -> {
                byName.remove(delete.key().name());
                if (last != null) {
                    deleted.put(
                            delete.key(),
                            new VersionedRow(last.row(), version, change.id(), change.author()));
                }
            }
        }
    }

    private static ChangeResult conflict(Change change, Edit edit, long actual, VersionedRow last) {
        return new ChangeResult.Conflict(
                change.id(),
                edit.key(),
                edit.expectedVersion(),
                actual,
                last == null ? "" : last.changeId(),
                last == null ? "" : last.author());
    }

    private static RowKind kindOf(Class<? extends Row> type) {
        for (RowKind kind : RowKind.values()) {
            if (kind.rowType() == type) {
                return kind;
            }
        }
        throw new IllegalArgumentException(type + " is no type of row");
    }

    private static Map<RowKind, TreeMap<String, VersionedRow>> emptyRows() {
        Map<RowKind, TreeMap<String, VersionedRow>> rows = new EnumMap<>(RowKind.class);
        for (RowKind kind : RowKind.values()) {
            rows.put(kind, new TreeMap<>());
        }
        return rows;
    }

    /**
     * The outcome of {@link Table#apply}.
     *
     * @param table the table after the change; the unchanged one unless accepted
     * @param result the answer to the author
     */
    public record Applied(Table table, ChangeResult result) {}
}
