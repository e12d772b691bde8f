/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.orchidmount.routing.Decision;
import org.orchidmount.routing.PromptBlocks;
import org.orchidmount.routing.RequestInfo;
import org.orchidmount.table.AccountRow;
import org.orchidmount.table.ClassRow;
import org.orchidmount.table.ModelRow;

/**
 * A request that waits for a decision, and the promise of that decision. Thread-safe.
 *
 * @param info what decisions need to know
 * @param blocks the prompt's blocks
 * @param account the client account
 * @param requestClass the request class
 * @param model the model
 * @param excluded upstreams that failed this request already; taken only if there is no other
 * @param verdict completed once, with {@link Verdict}
 */
public record Ticket(
        RequestInfo info,
        PromptBlocks blocks,
        AccountRow account,
        ClassRow requestClass,
        ModelRow model,
        Set<String> excluded,
        CompletableFuture<Verdict> verdict) {

    /** What becomes of a ticket. Immutable. */
    public sealed interface Verdict {
        /**
         * The request runs.
         *
         * @param decision the decision
         * @param reservation what is held for it; to be released by the owner of the ticket
         */
        record Placed(Decision.Place decision, Reservation reservation) implements Verdict {}

        /**
         * The request is refused as not run.
         *
         * @param decision why
         */
        record Refused(Decision.Refuse decision) implements Verdict {}

        /** The caller went before a decision was made. */
        record Withdrawn() implements Verdict {}
    }
}
