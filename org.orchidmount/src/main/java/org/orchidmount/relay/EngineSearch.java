/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.pacing.SendPermit;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.MemoryRule;
import org.orchidmount.routing.OutputLengthEstimator;
import org.orchidmount.routing.PrefillRule;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.upstream.CancelSignal;

/**
 * Searches a decode engine that takes one request: reserves memory there, announces the placement
 * and checks it again.
 *
 * <p>Invariant: reservations and announcements of placements that are not returned are withdrawn.
 * Confined to one virtual thread.
 */
final class EngineSearch {
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
    private final SequenceTracker mTracker;
    private final Prefiller mPrefiller;
    private final MemoryReservations mReservations;
    private final EngineCosts mCosts;
    private final AvailableMemory mAvailableMemory;
    private final StreamBinding mBinding;
    private Set<String> mHeldEngines = Set.of();

    /**
     * Creates a search.
     *
     * @param stated the output lengths that the caller states
     * @param output the sequence to place
     * @param availableMemory the part of an engine's memory that the request may use
     * @param binding the engines that may run the request
     */
    EngineSearch(
            RelayContext context,
            RelayRequest request,
            RelayRequest.Prompt prompt,
            Service service,
            CancelSignal cancel,
            RequestProgress progress,
            OutputLengthEstimator.StatedLength stated,
            InFlightSequence output,
            SequenceTracker tracker,
            Prefiller prefiller,
            AvailableMemory availableMemory,
            StreamBinding binding) {
        mContext = context;
        mRequest = request;
        mPrompt = prompt;
        mService = service;
        mCancel = cancel;
        mProgress = progress;
        mStatedLengths = stated;
        mOutput = output;
        mTracker = tracker;
        mPrefiller = prefiller;
        mReservations = new MemoryReservations(context, request.id(), cancel, progress);
        mCosts = new EngineCosts(context, service, prompt.tokens(), request.route().maxEventGap());
        mAvailableMemory = availableMemory;
        mBinding = binding;
    }

    /** Sets the engines that are kept for requests ahead in the queue. */
    void setHeldEngines(Set<String> held) {
        mHeldEngines = held;
    }

    /** Returns the costs of engines for the request. */
    EngineCosts costs() {
        return mCosts;
    }

    /** Asks the engines once, each at most once; empty if none takes the request. */
    Optional<Placement> search(Set<Incarnation> tried) throws InterruptedException {
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
        mReservations.release(placement);
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
        excluded.addAll(
                mContext.upstreams().avoided(mService.name(), Stage.DECODE, mBinding.constraint()));
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
                mContext
                        .upstreams()
                        .available(mService.name(), Stage.DECODE, mBinding.constraint())
                        .stream()
                        .anyMatch(engine -> !withPausing.contains(engine.id()));
        if (isAnyLeft) {
            excluded.addAll(withPausing);
        }
    }

    /** Returns the engines without memory for the request. */
    Set<String> saturatedEngines() {
        return mService.engine()
                .map(
                        engine ->
                                mContext.loads()
                                        .saturatedEngines(
                                                mOutput,
                                                mAvailableMemory.tokens(engine.kvCacheTokens()),
                                                mCosts::growthSpeed))
                .orElseGet(Set::of);
    }

    /**
     * Checks a placement again once all instances have received its announcement. The wait is
     * skipped if the engine has ample free memory.
     */
    private boolean confirmPlacement(Placement placement) throws InterruptedException {
        if (mService.engine().isEmpty()) {
            return true;
        }
        long memoryTokens = mAvailableMemory.tokens(mService.engine().get().kvCacheTokens());
        long uncheckedTokens = MemoryRule.uncheckedTokens(memoryTokens);
        String engine = placement.assignment().id();
        if (!mContext.loads()
                .saturatedEngines(mOutput, uncheckedTokens, mCosts::growthSpeed)
                .contains(engine)) {
            return true;
        }
        mProgress.startWaiting(Activity.PLACEMENT, engine);
        return !mCancel.await(ANNOUNCEMENT_DELAY)
                && mContext.loads()
                        .keepsPlacement(
                                placement.output().orElseThrow(),
                                memoryTokens,
                                mCosts.growthSpeed(engine));
    }

    /** Returns the memory that the request reserves at an engine. */
    int reservedTokens() {
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
                mCosts,
                mBinding.constraint());
    }

    /** Releases the memory reserved for a placement that the request did not use. */
    void release(Placement placement) {
        mReservations.release(placement);
    }
}
