/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Communication between the instances of a site: voters, which agree on the route table and
 * distribute registrations of upstreams, and entries, which follow the voters.
 */
package org.orchidmount.cluster;
