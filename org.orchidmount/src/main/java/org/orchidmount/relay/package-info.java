/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Serves requests by upstreams that register themselves: plain calls, and streams of model engines
 * with prefill and decode apart, whatever protocol the upstreams speak.
 *
 * <p>Begin at {@code Relay}; {@code RequestRelay} drives one request: {@code EnginePlacer} finds a
 * decode engine, {@code Prefiller} has the prompt prefilled, {@code AttemptRunner} makes one
 * attempt. They carry out the rules of {@code routing} and decide nothing themselves.
 *
 * <p>Owns {@code UpstreamDirectory}, what this instance knows of its upstreams; nothing is kept on
 * disk. Relies on {@code membership} for registrations, {@code load} for the sequences in flight at
 * engines, {@code limits} for the retry budget, and an {@code UpstreamProtocol} for the wire. The
 * requests of the table's upstreams go another way, through the daemon module.
 */
package org.orchidmount.relay;
