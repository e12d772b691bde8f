/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.pacing.SendPermit;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.MemoryRule;
import org.orchidmount.routing.MemoryWaitRule;
import org.orchidmount.routing.OutputLengthEstimator;
import org.orchidmount.routing.PrefillRule;
import org.orchidmount.routing.UpstreamCost;
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

    /** Time in which an announcement reaches all instances, with a small margin. */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(30);

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final RelayRequest.Prompt mPrompt;
    private final Service mService;
    private final CancelSignal mCancel;
    private final RequestProgress mProgress;
    private final OutputLengthEstimator.StatedLength mStatedLengths;
    private final InFlightSequence mOutput;
    private final Duration mNewRequestWait;
    private Duration mMaxWait;
    private final SequenceTracker mTracker;
    private final Prefiller mPrefiller;
    private final MemoryReservations mReservations;
    private final EngineCosts mCosts;
    private final AvailableMemory mAvailableMemory;
    private boolean mLacksPrefill;
    private boolean mIsTooLarge;
    private boolean mIsThrottled;
    private final RoomWait mRoomWait;
    private Set<Incarnation> mTried = Set.of();
    private Set<String> mHeldEngines = Set.of();

    EnginePlacer(
            RelayContext context,
            RelayRequest request,
            RelayRequest.Prompt prompt,
            Service service,
            boolean isClientRetry,
            CancelSignal cancel,
            RequestProgress progress,
            CrashReporter crashReporter) {
        mContext = context;
        mRequest = request;
        mPrompt = prompt;
        mService = service;
        mCancel = cancel;
        mProgress = progress;
        mStatedLengths =
                new OutputLengthEstimator.StatedLength(
                        prompt.expectedOutputTokens(), prompt.maxOutputTokens());
        context.outputLengths().observe(mStatedLengths);
        mOutput =
                InFlightSequence.ofOutput(
                        request.id(),
                        prompt.tokens(),
                        context.outputLengths().expect(mStatedLengths),
                        prompt.maxOutputTokens() > 0
                                ? prompt.maxOutputTokens()
                                : Integer.MAX_VALUE);
        mAvailableMemory = new AvailableMemory(context, request, service, mOutput, isClientRetry);
        mNewRequestWait = newRequestWait();
        mMaxWait =
                isClientRetry
                        ? MemoryWaitRule.forClientRetry(request.route().targetLatency())
                        : mNewRequestWait;
        mTracker = new SequenceTracker(context, service);
        mPrefiller =
                new Prefiller(
                        context,
                        request,
                        prompt,
                        service,
                        mTracker,
                        cancel,
                        progress,
                        crashReporter);
        mCosts = new EngineCosts(context, service, prompt.tokens(), request.route().maxEventGap());
        mReservations = new MemoryReservations(context, request.id(), cancel, progress);
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
        mHeldEngines = Set.of();
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
            mHeldEngines = held;
            return tryPlace(mTried);
        }

        @Override
        public boolean isUseless(long waitNanos) {
            mIsThrottled = areAllThrottled();
            return isNoneAvailableWithin(waitNanos);
        }

        @Override
        public long availableTokens(long memoryTokens) {
            return EnginePlacer.this.availableTokens(memoryTokens);
        }

        @Override
        public EngineSpeed engineSpeed(String upstreamId) {
            return mCosts.engineSpeed(upstreamId);
        }
    }

    /** Searches at intervals, independent of the other requests. */
    private Optional<Placement> placeUnordered(Set<Incarnation> tried) throws InterruptedException {
        long untilNanos = mContext.clock().nanoTime() + mMaxWait.toNanos();
        while (!mCancel.isCancelled()) {
            Optional<Placement> placement = tryPlace(tried);
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
        return mContext.areAllThrottled(mService.name(), Stage.DECODE, throttled);
    }

    /**
     * Returns whether waiting is useless: there is no engine, or none accepts work before the wait
     * ends.
     */
    private boolean isNoneAvailableWithin(long waitNanos) {
        List<Incarnation> engines = mContext.upstreams().available(mService.name(), Stage.DECODE);
        return engines.isEmpty()
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
                reservedTokens(),
                mMaxWait.toMillis(),
                mPrefiller.choice(),
                saturatedEngines());
    }

    private Optional<Placement> tryPlace(Set<Incarnation> tried) throws InterruptedException {
        PrefillRule.Choice choice = mPrefiller.choice();
        if (choice != PrefillRule.Choice.UNSPLIT_IF_IDLE_ELSE_SPLIT) {
            return tryEngines(tried, choice);
        }
        Optional<Placement> idle = tryEngines(tried, PrefillRule.Choice.UNSPLIT_IF_IDLE);
        return idle.isPresent() ? idle : tryEngines(tried, PrefillRule.Choice.SPLIT);
    }

    /**
     * Asks engines in turn, each once. An engine that was tried before is asked only if there is no
     * other.
     */
    private Optional<Placement> tryEngines(Set<Incarnation> tried, PrefillRule.Choice choice)
            throws InterruptedException {
        Set<String> excluded = excluded(choice);
        Set<Incarnation> refused = new HashSet<>(tried);
        boolean mayTakeTried = true;
        while (true) {
            Optional<Assignment> assignment =
                    mContext.upstreams().assign(need(mayTakeTried, excluded), refused);
            if (assignment.isEmpty()) {
                return Optional.empty();
            }
            Optional<Placement> placement = placeAt(assignment.get(), choice);
            if (placement.isPresent()) {
                return placement;
            }
            mContext.upstreams().release(assignment.get());
            refused.add(assignment.get().incarnation());
            mayTakeTried = false;
        }
    }

    private Optional<Placement> placeAt(Assignment assignment, PrefillRule.Choice choice)
            throws InterruptedException {
        Optional<SendPermit> permit = mContext.acquirePermit(assignment, mRequest);
        if (permit.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> reservation = mReservations.reserve(assignment, reservedTokens());
        if (reservation.isEmpty()) {
            return Optional.empty();
        }
        Placement placement = announce(assignment, reservation, permit.get(), choice);
        if (confirmPlacement(placement)) {
            return Optional.of(placement);
        }
        mTracker.end(placement);
        release(placement);
        return Optional.empty();
    }

    private Placement announce(
            Assignment assignment,
            Optional<String> reservation,
            SendPermit permit,
            PrefillRule.Choice choice) {
        Optional<InFlightSequence> prefill = Optional.empty();
        int queueTokens = 0;
        if (choice != PrefillRule.Choice.SPLIT) {
            InFlightSequence unplaced = InFlightSequence.ofPrefill(mRequest.id(), mPrompt.tokens());
            queueTokens = mPrompt.tokens() + mContext.loads().prefillBacklogTokens(assignment.id());
            prefill = Optional.of(mTracker.begin(unplaced, assignment));
        }
        InFlightSequence output = mTracker.begin(mOutput, assignment);
        return new Placement(
                assignment, reservation, Optional.of(output), prefill, permit, queueTokens);
    }

    /**
     * Returns the ids of the engines that have no capacity, that are ejected, refuse work or are
     * throttled, or that the prefill choice rules out. An engine that is gone or refuses work
     * appears to have the lowest load of all, so a request waits for capacity at another engine
     * rather than try it.
     */
    private Set<String> excluded(PrefillRule.Choice choice) {
        Set<String> excluded = new HashSet<>(saturatedEngines());
        excluded.addAll(mContext.upstreams().avoided(mService.name(), Stage.DECODE));
        excluded.addAll(mContext.throttle().throttledUpstreams());
        excluded.addAll(mHeldEngines);
        if (choice == PrefillRule.Choice.UNSPLIT_IF_IDLE) {
            excluded.addAll(
                    mContext.upstreams()
                            .idsNotMatching(mService.name(), Stage.DECODE, mCosts::isNearlyIdle));
        }
        if (choice == PrefillRule.Choice.UNSPLIT && mContext.evidence().isInForce()) {
            excludePausing(excluded);
        }
        return excluded;
    }

    /**
     * Excludes engines whose other streams the prefill would pause for too long, unless no engine
     * would be left.
     */
    private void excludePausing(Set<String> excluded) {
        Set<String> withPausing = new HashSet<>(excluded);
        withPausing.addAll(
                mContext.upstreams()
                        .idsNotMatching(
                                mService.name(),
                                Stage.DECODE,
                                upstreamId -> !mCosts.pausesTooLong(upstreamId)));
        boolean isAnyLeft =
                mContext.upstreams().available(mService.name(), Stage.DECODE).stream()
                        .anyMatch(engine -> !withPausing.contains(engine.id()));
        if (isAnyLeft) {
            excluded.addAll(withPausing);
        }
    }

    private Set<String> saturatedEngines() {
        return mService.engine()
                .map(
                        engine ->
                                mContext.loads()
                                        .saturatedEngines(
                                                mOutput,
                                                availableTokens(engine.kvCacheTokens()),
                                                mCosts::engineSpeed))
                .orElseGet(Set::of);
    }

    private long availableTokens(long memoryTokens) {
        return mAvailableMemory.tokens(memoryTokens);
    }

    /**
     * Checks a placement again once all instances have received its announcement. The wait is
     * skipped if the engine has ample free memory.
     */
    private boolean confirmPlacement(Placement placement) throws InterruptedException {
        if (mService.engine().isEmpty()) {
            return true;
        }
        long memoryTokens = availableTokens(mService.engine().get().kvCacheTokens());
        long uncheckedTokens = MemoryRule.uncheckedTokens(memoryTokens);
        String engine = placement.assignment().id();
        if (!mContext.loads()
                .saturatedEngines(mOutput, uncheckedTokens, mCosts::engineSpeed)
                .contains(engine)) {
            return true;
        }
        mProgress.startWaiting(Activity.PLACEMENT, engine);
        return !mCancel.await(ANNOUNCEMENT_DELAY)
                && mContext.loads()
                        .keepsPlacement(
                                placement.output().orElseThrow(),
                                memoryTokens,
                                mCosts.engineSpeed(engine));
    }

    private int reservedTokens() {
        return MemoryRule.reservedTokens(
                mPrompt.tokens(),
                mOutput.maxOutputTokens(),
                mContext.outputLengths().reserve(mStatedLengths),
                mContext.announcer().isComplete());
    }

    private UpstreamDirectory.Need need(boolean mayTakeTried, Set<String> excluded) {
        return new UpstreamDirectory.Need(
                mService.name(),
                Stage.DECODE,
                mCosts.requestMillis(),
                UpstreamCost.CROSS_ZONE_ENGINE_MILLIS,
                mayTakeTried,
                excluded,
                mContext.maxAssignments(mService),
                mCosts);
    }

    /** Releases the memory reserved for a placement that the request did not use. */
    void release(Placement placement) {
        mReservations.release(placement);
    }
}
