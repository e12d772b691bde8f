/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.retry.RequestRetries;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.MemoryRule;
import org.orchidmount.routing.MemoryWaitRule;
import org.orchidmount.routing.OutputLengthEstimator;
import org.orchidmount.routing.PrefillRule;
import org.orchidmount.upstream.CancelSignal;

/**
 * Finds a decode engine for one request and reserves memory there, before its prompt is prefilled.
 *
 * <p>Applies {@link MemoryRule}, {@link MemoryWaitRule} and {@link PrefillRule}. Invariant:
 * reservations and announcements that are not used are withdrawn. Confined to one virtual thread.
 */
final class EnginePlacer {
    private static final PartLog LOG = PartLog.of("engine");

    /**
     * Interval between two searches for capacity; other instances refresh their announcements
     * several times within it.
     */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(45);

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final RelayRequest.Prompt mPrompt;
    private final Service mService;
    private final CancelSignal mCancel;
    private final RequestProgress mProgress;
    private final InFlightSequence mOutput;
    private final Duration mNewRequestWait;
    private Duration mMaxWait;
    private final SequenceTracker mTracker;
    private final Prefiller mPrefiller;
    private final EngineSearch mSearch;
    private final AvailableMemory mAvailableMemory;
    private final StreamBinding mBinding;
    private boolean mLacksPrefill;
    private boolean mIsTooLarge;
    private boolean mIsThrottled;
    private final RoomWait mRoomWait;
    private Set<Incarnation> mTried = Set.of();

    EnginePlacer(
            RelayContext context,
            RelayRequest request,
            RelayRequest.Prompt prompt,
            Service service,
            boolean isClientRetry,
            CancelSignal cancel,
            RequestProgress progress,
            CrashReporter crashReporter,
            RequestRetries retries,
            StreamBinding binding) {
        mContext = context;
        mBinding = binding;
        mRequest = request;
        mPrompt = prompt;
        mService = service;
        mCancel = cancel;
        mProgress = progress;
        OutputLengthEstimator.StatedLength stated =
                new OutputLengthEstimator.StatedLength(
                        prompt.expectedOutputTokens(), prompt.maxOutputTokens());
        context.outputLengths().observe(stated);
        mOutput =
                InFlightSequence.ofOutput(
                        request.id(),
                        prompt.tokens(),
                        context.outputLengths().expect(stated),
                        prompt.maxOutputTokens() > 0
                                ? prompt.maxOutputTokens()
                                : Integer.MAX_VALUE);
        mAvailableMemory = new AvailableMemory(context, request, service, mOutput, isClientRetry);
        mNewRequestWait = newRequestWait();
        mMaxWait =
                isClientRetry
                        ? MemoryWaitRule.forClientRetry(request.route().targetLatency())
                        : mNewRequestWait;
        mTracker = new SequenceTracker(context, service, stated);
        mPrefiller =
                new Prefiller(
                        context,
                        request,
                        prompt,
                        service,
                        mTracker,
                        cancel,
                        progress,
                        crashReporter,
                        retries);
        mSearch =
                new EngineSearch(
                        context,
                        request,
                        prompt,
                        service,
                        cancel,
                        progress,
                        stated,
                        mOutput,
                        mTracker,
                        mPrefiller,
                        mAvailableMemory,
                        binding);
        mRoomWait =
                new RoomWait(context, request, service, mOutput, cancel, progress, new InOrder());
    }

    Prefiller prefiller() {
        return mPrefiller;
    }

    SequenceTracker tracker() {
        return mTracker;
    }

    AvailableMemory availableMemory() {
        return mAvailableMemory;
    }

    private Duration newRequestWait() {
        Duration target = mRequest.route().targetLatency();
        int tokens = mOutput.promptTokens() + mOutput.expectedTokens();
        return MemoryWaitRule.forNewRequest(mContext.outputLengths().relativeSize(tokens), target);
    }

    /**
     * Waits for an engine with capacity and reserves memory there.
     *
     * @param tried the engines that the request has tried
     * @return the placement; empty if none was found in time
     * @throws InterruptedException if the thread is interrupted
     */
    Optional<Placement> place(Set<Incarnation> tried) throws InterruptedException {
        mIsTooLarge = !canEverFit();
        if (mIsTooLarge) {
            return Optional.empty();
        }
        return mRoomWait.isInForce() ? placeInOrder(tried) : placeUnordered(tried);
    }

    /** Waits for its turn among the waiting requests of all entries. */
    private Optional<Placement> placeInOrder(Set<Incarnation> tried) throws InterruptedException {
        EngineSpeed speed = mContext.speedEstimator(mService.name()).speed();
        Duration untilLate =
                mRoomWait.untilLate(speed.prefillEngineMillis(mPrompt.tokens()), speed);
        boolean isRepeated = !tried.isEmpty() || mAvailableMemory.isClientRetry();
        mTried = tried;
        Optional<Placement> placement =
                mRoomWait.place(
                        isRepeated && untilLate.compareTo(mMaxWait) < 0 ? mMaxWait : untilLate);
        mMaxWait = mNewRequestWait;
        mSearch.setHeldEngines(Set.of());
        mLacksPrefill =
                placement.isEmpty()
                        && mRoomWait.hadRoom()
                        && mPrefiller.choice() == PrefillRule.Choice.UNSPLIT_IF_IDLE;
        return placement;
    }

    /** Returns the wait for room in order. */
    RoomWait roomWait() {
        return mRoomWait;
    }

    /** The search for a placement as the wait in order uses it. */
    private final class InOrder implements RoomWait.Search {
        @Override
        public Optional<Placement> search(Set<String> held) throws InterruptedException {
            mSearch.setHeldEngines(held);
            return mSearch.search(mTried);
        }

        @Override
        public boolean isUseless(long waitNanos) {
            mIsThrottled = areAllThrottled();
            return isNoneAvailableWithin(waitNanos);
        }

        @Override
        public long availableTokens(long memoryTokens) {
            return mAvailableMemory.tokens(memoryTokens);
        }

        @Override
        public EngineSpeed engineSpeed(String upstreamId) {
            return mSearch.costs().growthSpeed(upstreamId);
        }
    }

    /** Searches at intervals, independent of the other requests. */
    private Optional<Placement> placeUnordered(Set<Incarnation> tried) throws InterruptedException {
        long untilNanos = mContext.clock().nanoTime() + mMaxWait.toNanos();
        while (!mCancel.isCancelled()) {
            Optional<Placement> placement = mSearch.search(tried);
            mIsThrottled = placement.isEmpty() && areAllThrottled();
            long nowNanos = mContext.clock().nanoTime();
            if (placement.isPresent()) {
                // Further attempts wait only as long as a new request; otherwise the waits of a
                // client retry would add up to more than its caller waits for the first part.
                mMaxWait = mNewRequestWait;
                return placement;
            }
            if (isNoneAvailableWithin(untilNanos - nowNanos)) {
                return Optional.empty();
            }
            if (nowNanos - untilNanos > 0) {
                mLacksPrefill = mPrefiller.choice() == PrefillRule.Choice.UNSPLIT_IF_IDLE;
                logNoPlace();
                return Optional.empty();
            }
            mProgress.startWaiting(Activity.PLACEMENT);
            mCancel.await(POLL_INTERVAL);
        }
        return Optional.empty();
    }

    /**
     * Returns whether the request exceeds the memory of an engine, in which case no engine was
     * asked.
     */
    boolean isTooLarge() {
        return mIsTooLarge;
    }

    private boolean areAllThrottled() {
        Set<String> throttled = mContext.throttle().throttledUpstreams();
        return mContext.areAllThrottled(
                mService.name(), Stage.DECODE, mBinding.constraint(), throttled);
    }

    /**
     * Returns whether waiting is useless: there is no engine that may run the request, none can be
     * reached, or none accepts work before the wait ends.
     */
    private boolean isNoneAvailableWithin(long waitNanos) {
        List<Incarnation> engines =
                mContext.upstreams()
                        .available(mService.name(), Stage.DECODE, mBinding.constraint());
        return engines.isEmpty()
                || mContext.connections().isCutOff()
                || mIsThrottled
                        && mContext.throttle().untilAnyAvailable(engines).toNanos() > waitNanos;
    }

    /**
     * Returns whether the last search found every engine at its stated limit or in a pause that it
     * has asked for.
     */
    boolean isThrottled() {
        return mIsThrottled;
    }

    private boolean canEverFit() {
        return mAvailableMemory.canEverFit();
    }

    /** Returns whether the last search found memory, but no engine that could prefill in time. */
    boolean lacksPrefill() {
        return mLacksPrefill;
    }

    private void logNoPlace() {
        LOG.debug(
                "%s: no decode engine for %d tokens within %d ms; prefill %s, no capacity at %s",
                mRequest.id(),
                mSearch.reservedTokens(),
                mMaxWait.toMillis(),
                mPrefiller.choice(),
                mSearch.saturatedEngines());
    }

    /** Releases the memory reserved for a placement that the request did not use. */
    void release(Placement placement) {
        mSearch.release(placement);
    }
}
