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
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.evidence.UpstreamEvidenceView;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.SequenceAnnouncer;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.VersionConstraint;
import org.orchidmount.pacing.SendPermit;
import org.orchidmount.pacing.UpstreamStatement;
import org.orchidmount.pacing.UpstreamThrottle;
import org.orchidmount.quarantine.CrashReports;
import org.orchidmount.retry.RetryBudgets;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.ClientRetryDetector;
import org.orchidmount.routing.EngineSpeed;
import org.orchidmount.routing.EngineSpeedEstimator;
import org.orchidmount.routing.OutputLengthEstimator;
import org.orchidmount.routing.UrgentArrivals;
import org.orchidmount.stream.StreamOrigins;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.waiting.WaitingQueue;

/**
 * State and services shared by all requests. Every component is thread-safe.
 *
 * @param upstreams the upstreams known to this instance
 * @param retries the retries of all services
 * @param speedEstimators the estimators of engine speed by service
 * @param urgentArrivals the arrivals by rank of urgency
 * @param outputLengths the estimator of output lengths
 * @param clientRetries the detector that tells retries of callers from new requests
 * @param loads the sequences in flight at engines
 * @param announcer announces sequences to the other instances
 * @param crashReports the reports of requests that crash upstreams
 * @param throttle the limits and pauses that upstreams state
 * @param waiting the requests that wait for room at engines
 * @param connections connections to upstreams
 * @param protocol the protocol of the upstreams
 * @param origins the origins of streams
 * @param clock the clock
 */
record RelayContext(
        UpstreamDirectory upstreams,
        RetryBudgets retries,
        ConcurrentMap<String, EngineSpeedEstimator> speedEstimators,
        UrgentArrivals urgentArrivals,
        OutputLengthEstimator outputLengths,
        ClientRetryDetector clientRetries,
        EngineLoads loads,
        SequenceAnnouncer announcer,
        CrashReports crashReports,
        UpstreamThrottle throttle,
        WaitingQueue waiting,
        HttpConnections connections,
        UpstreamProtocol protocol,
        StreamOrigins origins,
        MonotonicClock clock) {
    /** Size limit of the response to a control call; actual responses are far smaller. */
    static final int MAX_CONTROL_BYTES = 64 * 1024;

    private static final PartLog LOG = PartLog.of("engine");

    /** Timeout of a release call; short, because its response is not needed. */
    private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(500);

    /** Returns the estimator of the speed of a service's engines, created on first use. */
    EngineSpeedEstimator speedEstimator(String service) {
        return speedEstimators.computeIfAbsent(service, name -> new EngineSpeedEstimator());
    }

    /** Returns what all entries have observed of upstreams. */
    UpstreamEvidenceView evidence() {
        return upstreams.evidence();
    }

    /** Returns the speed of one engine of a service, as far as entries have measured it. */
    EngineSpeed engineSpeed(String service, String upstreamId) {
        return speedEstimator(service).speed().slowedBy(evidence().slowness(upstreamId));
    }

    /**
     * Updates the health of an upstream after a failed call, unless the request was cancelled or
     * the path from here failed.
     */
    void callFailed(Assignment assignment, Failure failure, CancelSignal cancel) {
        LOG.debug(failure.describe());
        if (cancel.isCancelled() || failure instanceof Failure.PathLost || connections.isCutOff()) {
            return;
        }
        if (failure.mayHaveRun()) {
            upstreams.failed(assignment);
        } else {
            upstreams.unreachable(assignment);
        }
    }

    /** Applies what the head of a response to a request states about its upstream. */
    void responded(Assignment assignment, ClientResponse response, long sentNanos) {
        boolean hasServed = HttpStatus.isSuccess(response.getResponseCode());
        observe(assignment, response, hasServed, sentNanos);
    }

    /** Applies what the head of a response to a control call states about its upstream. */
    void respondedToCall(Assignment assignment, ClientResponse response, long sentNanos) {
        observe(assignment, response, false, sentNanos);
    }

    private void observe(
            Assignment assignment, ClientResponse response, boolean hasServed, long sentNanos) {
        Optional<UpstreamStatement> statement = protocol.statement(response);
        if (statement.isEmpty()) {
            return;
        }
        throttle.observe(assignment.incarnation(), statement.get(), hasServed, sentNanos);
        if (statement.get().isLeaving()) {
            upstreams.markLeaving(assignment);
        }
    }

    /**
     * Returns the maximum number of concurrent assignments from this instance to an upstream of a
     * service. Each assignment uses one connection, and the upstream counts the connections of all
     * instances.
     */
    int maxAssignments(Service service) {
        return maxAssignments(service, throttle);
    }

    static int maxAssignments(Service service, UpstreamThrottle throttle) {
        return service.maxConnections().isEmpty()
                ? UpstreamDirectory.Need.UNLIMITED
                : throttle.localShare(service.maxConnections().getAsInt());
    }

    /**
     * Acquires a permit to send a request to the upstream that was chosen for it.
     *
     * @return the permit; empty if the upstream accepts no more requests, in which case the
     *     assignment is released
     */
    Optional<SendPermit> acquirePermit(Assignment assignment, RelayRequest request)
            throws InterruptedException {
        SendPermit permit =
                throttle.acquire(assignment.incarnation(), request.route().targetLatency());
        if (permit.isGranted()) {
            return Optional.of(permit);
        }
        upstreams.release(assignment);
        return Optional.empty();
    }

    /**
     * Records a refusal. If the upstream states a limit or asks for a pause, the refusal is
     * attributed to that and does not affect its health.
     */
    void refused(Assignment assignment) {
        if (!throttle.recordRefusal(assignment.incarnation())) {
            upstreams.refused(assignment);
        }
    }

    /**
     * Records the refusal of a request for which memory was reserved, by the same rule as {@link
     * #refused}.
     */
    void refusedDespiteReservation(Assignment assignment) {
        if (!throttle.recordRefusal(assignment.incarnation())) {
            upstreams.refusedDespiteReservation(assignment);
        }
    }

    /**
     * Returns whether a service has available upstreams that may run a request and all of them are
     * throttled, that is, at their stated limit or in a pause that they have asked for.
     *
     * @param constraint the upstreams that may run the request
     * @param throttled the ids of the throttled upstreams of all services
     */
    boolean areAllThrottled(
            String service, Stage stage, VersionConstraint constraint, Set<String> throttled) {
        if (throttled.isEmpty()) {
            return false;
        }
        List<Incarnation> available = upstreams.available(service, stage, constraint);
        return !available.isEmpty()
                && available.stream().allMatch(upstream -> throttled.contains(upstream.id()));
    }

    /**
     * Releases a reservation or a KV cache at an upstream, on a separate thread. During a pause
     * that the upstream has asked for, no call is made: the resource expires there, which takes as
     * long as most pauses.
     */
    void release(Assignment assignment, HttpHead head) {
        if (throttle.isPaused(assignment.incarnation())) {
            throttle.countHeldBack();
            return;
        }
        Thread.ofVirtual().name("release").start(() -> sendRelease(assignment, head));
    }

    private void sendRelease(Assignment assignment, HttpHead head) {
        long sentNanos = clock.nanoTime();
        try (HttpCall call = connections.call(assignment.peer(), Step.CANCEL, head)) {
            ClientResponse response = call.awaitResponse(RELEASE_TIMEOUT);
            respondedToCall(assignment, response, sentNanos);
            call.readAll(RELEASE_TIMEOUT, MAX_CONTROL_BYTES);
        } catch (CallFailedException e) {
            LOG.debug(
                    "release failed, the resource expires at the upstream: %s",
                    e.failure().describe());
        }
    }
}
