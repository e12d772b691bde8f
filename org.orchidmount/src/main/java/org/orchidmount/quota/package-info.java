/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Limits that all instances share: how much a key may use in any window, over all of them.
 *
 * <p>Owns the buckets ({@code QuotaOwner}, at the one instance that holds the lease) and what
 * others may grant while that one is silent ({@code QuotaReserve}). A key is any name; nothing here
 * knows of accounts, messages or links. Time is passed in.
 */
package org.orchidmount.quota;
