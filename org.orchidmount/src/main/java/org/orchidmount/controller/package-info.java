/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/** Controllers that read the blackboard, decide, and write it. */
package org.orchidmount.controller;
