/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Sequences in flight at model engines, shared by all instances.
 *
 * <p>{@code EngineLoads} holds the state in memory only; a restarted instance knows nearly all
 * sequences again after 6 s. The cluster's links carry the announcements, and {@code routing} makes
 * the decisions based on them.
 */
package org.orchidmount.load;
