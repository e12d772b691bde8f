/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** The kinds of row in the operators' table. */
public enum RowKind {
    /** A pool of upstreams that do the same work. */
    POOL(PoolRow.class),
    /** A language model and the pools that serve it. */
    MODEL(ModelRow.class),
    /** A request class: its weight and the lateness it tolerates. */
    CLASS(ClassRow.class),
    /** A client account: its key, weight and limits. */
    ACCOUNT(AccountRow.class),
    /** One upstream: a model engine or an instance of a plain service. */
    UPSTREAM(UpstreamRow.class),
    /** A path that is forwarded to a pool of plain services. */
    ROUTE(RouteRow.class);

    private final Class<? extends Row> mRowType;

    RowKind(Class<? extends Row> rowType) {
        mRowType = rowType;
    }

    /**
     * Returns the record type that holds rows of this kind.
     *
     * @return the type
     */
    public Class<? extends Row> rowType() {
        return mRowType;
    }

    /**
     * Returns the name used in files, paths and texts.
     *
     * @return the lower-case name
     */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a kind by its label.
     *
     * @param label the label, in any case
     * @return the kind
     * @throws IllegalArgumentException if there is none; the message lists the kinds
     */
    @JsonCreator
    public static RowKind ofLabel(String label) {
        for (RowKind kind : values()) {
            if (kind.label().equalsIgnoreCase(label)) {
                return kind;
            }
        }
        String known =
                Arrays.stream(values()).map(RowKind::label).collect(Collectors.joining(", "));
        throw new IllegalArgumentException(
                "unknown kind of row '" + label + "'; use one of " + known);
    }
}
