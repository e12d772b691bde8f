/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.client.ClientConnection;

/**
 * A connection that has just been opened.
 *
 * @param connection the connection
 * @param limit the limit on what is read from it
 */
record DialledConnection(ClientConnection connection, ReceiveLimit limit) {}
