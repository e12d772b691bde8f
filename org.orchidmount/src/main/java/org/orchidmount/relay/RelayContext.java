/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.client.ClientResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.limits.RetryBudget;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.SequenceAnnouncer;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.pacing.SendPermit;
import org.orchidmount.pacing.UpstreamPace;
import org.orchidmount.pacing.UpstreamStatement;
import org.orchidmount.quarantine.CrashReports;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.ClientRetryDetector;
import org.orchidmount.routing.EnginePaceEstimator;
import org.orchidmount.routing.OutputLengthEstimator;
import org.orchidmount.upstream.CancelSignal;

/**
 * What all requests share. Every part is thread-safe.
 *
 * @param upstreams the upstreams known here
 * @param retryBudgets the retry budget of each service
 * @param newRetryBudget creates the budget of a service that has none yet
 * @param enginePaces what has been observed of the engines of each service
 * @param outputLengths estimates the lengths of outputs
 * @param clientRetries tells retries of callers from new requests
 * @param loads the sequences in flight at engines
 * @param announcer announces sequences to the other instances
 * @param crashes what is known of requests that crash upstreams
 * @param pace the limits that upstreams state
 * @param connections connections to upstreams
 * @param protocol what upstreams speak
 * @param clock the clock
 */
record RelayContext(
        UpstreamDirectory upstreams,
        ConcurrentMap<String, RetryBudget> retryBudgets,
        Supplier<RetryBudget> newRetryBudget,
        ConcurrentMap<String, EnginePaceEstimator> enginePaces,
        OutputLengthEstimator outputLengths,
        ClientRetryDetector clientRetries,
        EngineLoads loads,
        SequenceAnnouncer announcer,
        CrashReports crashes,
        UpstreamPace pace,
        HttpConnections connections,
        UpstreamProtocol protocol,
        MonotonicClock clock) {
    /** Bytes of the answer to a call other than a request; far more than any has. */
    static final int MAX_CONTROL_BYTES = 64 * 1024;

    private static final PartLog LOG = PartLog.of("engine");

    /** The answer to a release does not matter, so little is waited for. */
    private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(500);

    /** Returns the retry budget of a service. */
    RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, name -> newRetryBudget.get());
    }

    /** Returns what is learned of the engines of a service. */
    EnginePaceEstimator enginePace(String service) {
        return enginePaces.computeIfAbsent(service, name -> new EnginePaceEstimator());
    }

    /** Learns from a call that failed, unless it failed because its caller had gone. */
    void callFailed(Assignment assignment, Failure failure, CancelSignal cancel) {
        LOG.debug(failure.describe());
        if (cancel.isCancelled()) {
            return;
        }
        if (failure.mayHaveRun()) {
            upstreams.failed(assignment);
        } else {
            upstreams.unreachable(assignment);
        }
    }

    /** Learns from the head of a response of an upstream to a request. */
    void responded(Assignment assignment, ClientResponse response, long sentNanos) {
        boolean hasServed = HttpStatus.isSuccess(response.getResponseCode());
        observe(assignment, response, hasServed, sentNanos);
    }

    /** Learns from the head of a response of an upstream to another call than a request. */
    void respondedToCall(Assignment assignment, ClientResponse response, long sentNanos) {
        observe(assignment, response, false, sentNanos);
    }

    private void observe(
            Assignment assignment, ClientResponse response, boolean hasServed, long sentNanos) {
        Optional<UpstreamStatement> statement = protocol.statement(response);
        if (statement.isEmpty()) {
            return;
        }
        pace.observe(assignment.incarnation(), statement.get(), hasServed, sentNanos);
        if (statement.get().isLeaving()) {
            upstreams.leaves(assignment);
        }
    }

    /**
     * Returns how many assignments an upstream of a service may have from this instance at once.
     * Each has one connection, and the upstream counts those of all instances.
     */
    int mostAtOnce(Service service) {
        return service.maxConnections().isEmpty()
                ? UpstreamDirectory.Need.ANY_NUMBER
                : pace.equalPart(service.maxConnections().getAsInt());
    }

    /**
     * Takes the right to send a request to the upstream that was chosen for it.
     *
     * @return the right; nothing if the upstream has got what it takes, whose work is then released
     */
    Optional<SendPermit> mayBeSent(Assignment assignment, RelayRequest request)
            throws InterruptedException {
        SendPermit permit = pace.take(assignment.incarnation(), request.route().target());
        if (permit.isGranted()) {
            return Optional.of(permit);
        }
        upstreams.release(assignment);
        return Optional.empty();
    }

    /**
     * Learns from a refusal. One by an upstream that states a limit or asks for a pause is for
     * these, and shows nothing of its health.
     */
    void refused(Assignment assignment) {
        if (!pace.refusedBy(assignment.incarnation())) {
            upstreams.refused(assignment);
        }
    }

    /** Learns from a refusal of a request for which memory was reserved, in the same way. */
    void refusedDespiteRoom(Assignment assignment) {
        if (!pace.refusedBy(assignment.incarnation())) {
            upstreams.refusedDespiteRoom(assignment);
        }
    }

    /**
     * Tells whether a service has upstreams, and each of them is passed over for what it states.
     *
     * @param passedOver the identities of those that are, of any service
     */
    boolean areAllPassedOver(String service, Stage stage, Set<String> passedOver) {
        if (passedOver.isEmpty()) {
            return false;
        }
        List<Incarnation> upstreamsOfIt = upstreams.takingWork(service, stage);
        return !upstreamsOfIt.isEmpty()
                && upstreamsOfIt.stream().allMatch(upstream -> passedOver.contains(upstream.id()));
    }

    /**
     * Releases something at an upstream, on a thread of its own. During a pause of the upstream it
     * is left to lapse there, which takes as long as most pauses.
     */
    void release(Assignment assignment, HttpHead head) {
        if (pace.isPaused(assignment.incarnation())) {
            pace.heldBack();
            return;
        }
        Thread.ofVirtual().name("release").start(() -> callToRelease(assignment, head));
    }

    private void callToRelease(Assignment assignment, HttpHead head) {
        long sentNanos = clock.nanoTime();
        try (HttpCall call = connections.call(assignment.peer(), Step.CANCEL, head)) {
            ClientResponse response = call.awaitResponse(RELEASE_TIMEOUT);
            respondedToCall(assignment, response, sentNanos);
            call.readAll(RELEASE_TIMEOUT, MAX_CONTROL_BYTES);
        } catch (CallFailedException e) {
            LOG.debug("not released: %s", e.failure().describe());
        }
    }
}
