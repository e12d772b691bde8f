/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.VersionConstraint;
import org.orchidmount.routes.Service;
import org.orchidmount.stream.StreamOrigin;
import org.orchidmount.stream.StreamOrigins;

/**
 * Which upstreams may run one request: any of its service until the first event of its stream, then
 * those that can continue what wrote that event. A request that continues the stream of another one
 * is bound from the beginning.
 *
 * <p>Invariants: a binding never changes once it was made; a request whose binding is not known has
 * no upstream. Confined to one virtual thread.
 */
final class StreamBinding {
    private final StreamOrigins mOrigins;
    private final RelayRequest mRequest;
    private final Service mService;
    private final Supplier<Optional<String>> mOnlyVersion;
    private final MonotonicClock mClock;
    private VersionConstraint mConstraint = VersionConstraint.ANY;
    private Cause mCause = Cause.NONE;

    /** What has bound a request. The names are part of the log format. */
    enum Cause {
        /** Nothing yet. */
        NONE,
        /** The first event of its stream, at this instance. */
        FIRST_EVENT,
        /** The origin of the stream that it continues. */
        CONTINUED,
        /**
         * It continues a stream without naming it, while all known upstreams are of one version.
         */
        ONLY_VERSION,
        /** It continues a stream of which no instance that could be asked knows the origin. */
        UNKNOWN
    }

    /**
     * Creates the binding of a request.
     *
     * @param origins the origins of streams
     * @param request the request
     * @param service the service that runs it
     * @param onlyVersion returns the version of all upstreams of the service, if it is one
     * @param clock the clock
     */
    StreamBinding(
            StreamOrigins origins,
            RelayRequest request,
            Service service,
            Supplier<Optional<String>> onlyVersion,
            MonotonicClock clock) {
        mOnlyVersion = onlyVersion;
        mOrigins = origins;
        mRequest = request;
        mService = service;
        mClock = clock;
    }

    /** Binds a request that continues a stream to the origin of that stream. */
    void bindContinuation() throws InterruptedException {
        if (mRequest.prompt().filter(RelayRequest.Prompt::isContinuation).isEmpty()) {
            return;
        }
        Optional<String> firstId =
                mRequest.prompt().flatMap(RelayRequest.Prompt::continuedRequestId);
        Optional<StreamOrigin> origin =
                firstId.isPresent() ? mOrigins.find(firstId.get()) : originOfUnnamed();
        mCause = origin.isEmpty() ? Cause.UNKNOWN : causeOf(firstId);
        mConstraint =
                origin.filter(known -> known.service().equals(mService.name()))
                        .map(known -> VersionConstraint.version(known.version()))
                        .orElse(upstream -> false);
    }

    private static Cause causeOf(Optional<String> firstId) {
        return firstId.isPresent() ? Cause.CONTINUED : Cause.ONLY_VERSION;
    }

    /** A caller that does not name the stream is served only where there is nothing to choose. */
    private Optional<StreamOrigin> originOfUnnamed() {
        return mOrigins.knowsAllUpstreams()
                ? mOnlyVersion.get().map(version -> new StreamOrigin(mService.name(), version))
                : Optional.empty();
    }

    /** Binds the request to the upstream whose event is about to be sent first. */
    void bindToFirstEvent(Registration writer) {
        if (mCause != Cause.NONE) {
            return;
        }
        mCause = Cause.FIRST_EVENT;
        mConstraint = VersionConstraint.writtenBy(writer);
        if (mRequest.route().resumable() && writer.version().isPresent()) {
            mOrigins.begun(
                    mRequest.id(),
                    new StreamOrigin(writer.service(), writer.version().get()),
                    Duration.ofNanos(mRequest.callerEndNanos() - mClock.nanoTime()));
        }
    }

    /** Returns the id of the request that this one states to continue, for logs. */
    String continuedRequestId() {
        return mRequest.prompt()
                .flatMap(RelayRequest.Prompt::continuedRequestId)
                .orElse("an unnamed request");
    }

    /** Returns the upstreams that may run the request now. */
    VersionConstraint constraint() {
        return mConstraint;
    }

    Cause cause() {
        return mCause;
    }
}
