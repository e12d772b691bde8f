/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Limits that upstreams state of themselves in their responses: how many requests a second they
 * take from all instances together.
 *
 * <p>Owns what is known of them ({@code UpstreamLimits}) and whether a request may be sent now
 * ({@code UpstreamPace}). Nothing here knows of header fields, links or how an upstream is chosen.
 */
package org.orchidmount.pacing;
