/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Relays requests to upstreams that register themselves: plain calls, and streams of model engines
 * with disaggregated prefill and decode. Independent of the protocol that the upstreams use.
 *
 * <p>The entry point is {@code Relay}. {@code RequestRelay} drives one request: {@code
 * EnginePlacer} finds a decode engine, {@code Prefiller} has the prompt prefilled, {@code
 * AttemptRunner} executes one attempt. They apply the rules of {@code routing} and contain no
 * policy of their own.
 *
 * <p>Owns {@code UpstreamDirectory}, this instance's view of its upstreams, which is held in memory
 * only. Depends on {@code membership} for registrations, {@code load} for the sequences in flight
 * at engines, {@code limits} for the retry budget, and an {@code UpstreamProtocol} for the wire
 * format. Requests to upstreams that are configured in the table do not pass through this package;
 * the daemon module forwards them.
 */
package org.orchidmount.relay;
