/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Carries requests to upstreams that register themselves: one state machine for plain calls and for
 * streams of model engines, whatever protocol the upstreams speak.
 */
package org.orchidmount.relay;
