/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Blocking views of Undertow's asynchronous client and server for virtual threads. */
package org.orchidmount.internal.http;
