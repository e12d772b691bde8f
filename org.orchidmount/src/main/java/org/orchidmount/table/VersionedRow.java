/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * A row with the version an edit has to name. Immutable.
 *
 * @param row the row
 * @param version 1 for a new row, one more after each edit; a row put again after its deletion goes
 *     on from there
 * @param changeId the change that wrote this version
 * @param author who made that change
 */
public record VersionedRow(Row row, long version, String changeId, String author) {}
