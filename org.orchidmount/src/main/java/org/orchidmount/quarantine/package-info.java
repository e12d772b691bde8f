/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Quarantine of requests that crash the upstreams on which they run: what all instances together
 * know of such requests, and when a request is no longer run.
 *
 * <p>{@code CrashRecord} defines the rule. {@code CrashRegistry} holds the records of one instance,
 * which the instances exchange and merge. {@code CrashReports} is the entry point for both request
 * paths, with a {@code RunGuard} per request. {@code TerminationProbe} determines whether an
 * upstream has terminated, and {@code UnconfirmedCrashes} waits for a confirmation where the probe
 * cannot tell. This package does not depend on cluster messages or files. Callers pass the time in.
 */
package org.orchidmount.quarantine;
