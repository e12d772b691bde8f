/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Agreement of the voters on one small replicated state: the route table in force and the voters.
 *
 * <p>The state is a register, not a log: every entry carries the whole state, so an entry replaces
 * all earlier ones and no compaction is needed. Elections, terms and commitment follow Raft.
 */
package org.orchidmount.consensus;
