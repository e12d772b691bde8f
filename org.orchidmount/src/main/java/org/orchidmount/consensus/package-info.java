/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
/**
 * Consensus of the voters on one small replicated state: the active route table and the voters.
 *
 * <p>The state is a replicated register, not a log: every entry carries the whole state and
 * supersedes all earlier entries, so no compaction is needed. Elections with pre-vote, terms and
 * commitment follow Raft.
 */
package org.orchidmount.consensus;
