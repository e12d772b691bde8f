/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import org.orchidmount.blackboard.Blackboard;
import org.orchidmount.blackboard.RequestBoard;
import org.orchidmount.claims.ClaimStore;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.controller.Admission;
import org.orchidmount.internal.http.BodyMemory;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.limits.LocalLimits;
import org.orchidmount.limits.RetryBudget;
import org.orchidmount.quarantine.CrashReports;
import org.orchidmount.settings.Settings;
import org.orchidmount.table.TableStore;
import org.orchidmount.upstream.EngineClient;

/**
 * The parts of a running daemon that its fronts work with. Immutable; each part is thread-safe.
 *
 * @param settings the instance's settings
 * @param incarnation this run of the instance
 * @param clock the clock
 * @param table the operators' table
 * @param board upstreams, reservations and queue
 * @param requests the requests in progress
 * @param limits what runs against the limits
 * @param retries the retry budget
 * @param admission lets requests in
 * @param engines speaks to engines
 * @param crashes what is known of requests that crash upstreams
 * @param connections carries calls to upstreams
 * @param cleaner cancels what is of no further use
 * @param claims the claims of not-repeatable requests
 * @param resumeTokens signs resume tokens
 * @param bodies memory for the bodies of requests
 * @param metrics the figures
 */
record Parts(
        Settings settings,
        String incarnation,
        MonotonicClock clock,
        TableStore table,
        Blackboard board,
        RequestBoard requests,
        LocalLimits limits,
        RetryBudget retries,
        Admission admission,
        EngineClient engines,
        CrashReports crashes,
        HttpConnections connections,
        EngineCleaner cleaner,
        ClaimStore claims,
        ResumeTokens resumeTokens,
        BodyMemory bodies,
        MetricRegistry metrics) {}
