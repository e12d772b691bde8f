/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.concurrent.CompletableFuture;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.QuotaRequest;

/**
 * An entry's client of the owner that counts the requests sent to upstreams. While a voter of an
 * earlier build is linked, which may not support these requests and might become leader, there is
 * no owner. Thread-safe.
 */
final class UpstreamQuotaClient implements QuotaOwnerClient {
    private final TaskThread mTasks;
    private final EntryRecords mRecords;
    private final QuotaRequests mRequests;

    /** Creates a client that uses the entry's state on the entry's thread. */
    UpstreamQuotaClient(TaskThread tasks, EntryRecords records, QuotaRequests requests) {
        mTasks = tasks;
        mRecords = records;
        mRequests = requests;
    }

    @Override
    public CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request) {
        CompletableFuture<QuotaAnswer> answer = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    if (mRecords.allVotersSupport(Capability.UPSTREAM_LIMITS)) {
                        mRequests.ask(request, answer);
                    } else {
                        answer.complete(QuotaAnswer.NO_OWNER);
                    }
                });
        return answer;
    }

    @Override
    public void refund(String key, long units) {
        mTasks.post(() -> mRequests.refund(key, units));
    }
}
