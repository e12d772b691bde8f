/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * The route table, which determines the service that handles a request and the limits that apply.
 */
package org.orchidmount.routes;
