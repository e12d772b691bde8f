/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * The sequences in flight at model engines, shared by all instances.
 *
 * <p>Owns what this instance knows of them ({@code EngineLoads}); nothing is kept on disk, and a
 * restarted instance knows nearly all again after 6 s. Relies on the cluster's links to carry the
 * announcements and on {@code routing} to decide by them.
 */
package org.orchidmount.load;
