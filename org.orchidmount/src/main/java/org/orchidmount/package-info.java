/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** A router for language-model serving with separate prefill and decode pools. */
package org.orchidmount;
