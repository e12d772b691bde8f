/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.time.Instant;

/**
 * One line of the audit trail: a change that was accepted, and when. Immutable.
 *
 * @param time when the change was accepted
 * @param revision the table's revision after it
 * @param change the change
 */
public record AuditRecord(Instant time, long revision, Change change) {}
