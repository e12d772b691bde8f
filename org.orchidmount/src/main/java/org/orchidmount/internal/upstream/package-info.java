/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** The engine and plain service protocols over HTTP. */
package org.orchidmount.internal.upstream;
