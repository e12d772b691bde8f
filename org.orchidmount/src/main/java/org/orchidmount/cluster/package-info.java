/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * The instances of a site and what they say to each other: voters that agree on the route table and
 * spread registrations, and entries that follow them.
 */
package org.orchidmount.cluster;
