/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * What counts as a retry at the upstreams of a service, and how it is charged. {@code
 * ArrivalHistory} is the only place that defines the former.
 */
package org.orchidmount.retry;
