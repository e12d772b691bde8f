/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The operators' calls as command objects: set what is needed, then call once. */
package org.orchidmount.api;
