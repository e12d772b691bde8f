/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import org.orchidmount.table.ModelRow;
import org.orchidmount.table.RouteRow;
import org.orchidmount.table.Table;
import org.orchidmount.table.TableStore;

/** Tells the balancer whether this instance takes new work. Thread-safe. */
final class Readiness {
    /** The path that tells whether the process lives. */
    static final String LIVE = "/healthz";

    /** The path that tells whether the instance takes new work. */
    static final String READY = "/readyz";

    private final TableStore mTable;
    private volatile boolean mLeaving;

    Readiness(TableStore table) {
        mTable = table;
    }

    /** Turns red for good, because the instance is stopping. */
    void leave() {
        mLeaving = true;
    }

    boolean isReady() {
        return !mLeaving && servesSomething();
    }

    /** Says why the instance is ready or not. */
    String explanation() {
        if (mLeaving) {
            return "stopping";
        }
        return servesSomething() ? "ready" : "the table names neither a model nor a route";
    }

    private boolean servesSomething() {
        Table table = mTable.current();
        return !table.rows(ModelRow.class).isEmpty() || !table.rows(RouteRow.class).isEmpty();
    }
}
