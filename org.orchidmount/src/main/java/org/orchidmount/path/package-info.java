/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * The paths between this instance and the upstreams: whether upstreams can be reached directly, and
 * tunnels through other instances where they cannot.
 */
package org.orchidmount.path;
