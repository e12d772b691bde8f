/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.relay.EndClassifier.End;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.report.RequestEnd;
import org.orchidmount.report.RequestReport;
import org.orchidmount.routes.ClientAccount;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.AttemptRule;

/**
 * Writes the report of one request to the log.
 *
 * <p>Invariant: one line for each request that was read. Confined to one virtual thread.
 */
final class RequestReporter {
    private static final PartLog LOG = PartLog.of(RequestReport.PART);

    private final RelayRequest mRequest;
    private final Service mService;
    private final boolean mIsClientRetry;
    private final RequestProgress mProgress;
    private final int mPromptTokens;
    private int mAttempts;
    private int mUnsplitTokens;
    private boolean mIsCutOff;
    private long mBackInMillis = RequestReport.NO_RETRY_MILLIS;
    private String mLastUpstream = RequestReport.NO_UPSTREAM;
    private String mLastVersion = RequestReport.NO_VERSION;

    RequestReporter(
            RelayRequest request,
            Service service,
            boolean isClientRetry,
            RequestProgress progress) {
        mRequest = request;
        mService = service;
        mIsClientRetry = isClientRetry;
        mProgress = progress;
        mPromptTokens = request.prompt().map(RelayRequest.Prompt::tokens).orElse(0);
    }

    /** Records an attempt, and whether its upstream prefilled the prompt itself. */
    void recordAttempt(Registration upstream, boolean prefilledByUpstream) {
        mAttempts++;
        mLastUpstream = upstream.id();
        mLastVersion =
                upstream.version()
                        .map(version -> version.replace(' ', '_'))
                        .orElse(RequestReport.NO_VERSION);
        mUnsplitTokens += prefilledByUpstream ? mPromptTokens : 0;
    }

    /** Records the time to retry that the caller is told, and whether no upstream was reached. */
    void refused(Duration retryAfter, boolean isCutOff) {
        mIsCutOff = isCutOff;
        mBackInMillis = retryAfter.toMillis();
    }

    /** Writes the report line. */
    void ended(
            End end,
            AttemptRule.History history,
            boolean isThrottled,
            AttemptRunner attempts,
            Optional<EnginePlacer> engines,
            StreamBinding.Cause boundBy) {
        Optional<Duration> first = attempts.firstResponse();
        RequestEnd reported =
                EndClassifier.classify(
                        new EndClassifier.Facts(
                                end,
                                history,
                                mIsClientRetry,
                                engines.map(EnginePlacer::isTooLarge).orElse(false),
                                engines.map(EnginePlacer::lacksPrefill).orElse(false),
                                engines.map(placer -> placer.availableMemory().isHeldBack())
                                        .orElse(false),
                                mIsCutOff,
                                isThrottled,
                                mRequest.route(),
                                first,
                                attempts.longestPause(),
                                mProgress));
        int splitTokens = engines.map(placer -> placer.prefiller().prefilledTokens()).orElse(0);
        RequestReport report =
                new RequestReport(
                        mRequest.id(),
                        reported,
                        mService.name(),
                        mIsClientRetry,
                        mAttempts,
                        mPromptTokens,
                        splitTokens + mUnsplitTokens,
                        EndClassifier.roomWait(mProgress).toMillis(),
                        mProgress.waited(Activity.PREFILL).toMillis(),
                        first.map(Duration::toMillis).orElse(RequestReport.NO_RESPONSE_MILLIS),
                        attempts.longestPause().toMillis(),
                        mProgress.age().toMillis(),
                        mLastUpstream,
                        mRequest.account()
                                .map(ClientAccount::name)
                                .orElse(RequestReport.NO_ACCOUNT),
                        mRequest.route().name(),
                        mRequest.urgency(),
                        engines.map(placer -> placer.roomWait().aheadOnArrival()).orElse(0),
                        mBackInMillis,
                        attempts.through().orElse(RequestReport.DIRECT),
                        mLastVersion,
                        boundBy == StreamBinding.Cause.NONE
                                ? RequestReport.UNBOUND
                                : boundBy.name());
        LOG.info("%s", report.toLine());
    }
}
