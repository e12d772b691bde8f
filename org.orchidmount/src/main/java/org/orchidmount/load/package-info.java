/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * What instances tell each other of the work that they have given to model engines, and what
 * follows for the memory of the engines.
 */
package org.orchidmount.load;
