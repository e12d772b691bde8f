/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.orchidmount.errors.Failure;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.membership.Incarnation;

/**
 * Checks before each run of one request whether it may run, and reports the crashes of its runs.
 * The suspects of a crash are the whole request and each part of its prompt that no engine is known
 * to have survived.
 *
 * <p>Invariant: a crash is added to the records that were known when the run began. The fingerprint
 * of a request is computed when it is first needed, so that requests incur no cost while no crash
 * is known. Confined to one thread.
 */
public final class RunGuard implements AutoCloseable {
    /** Number of crashes from which copies of a request to a model engine run one at a time. */
    public static final int SERIALIZE_PROMPTS_AFTER = 1;

    /**
     * The same number for plain services. Many callers send them identical requests at once, and
     * these must not all wait for one another because an upstream crashed for another reason.
     */
    public static final int SERIALIZE_PLAIN_AFTER = 2;

    private final CrashReports mReports;
    private final Suspect mRequest;
    private final Optional<PromptParts> mParts;
    private final List<Suspect> mPartSuspects;

    /**
     * Creates a guard of a request whose prompt shares no parts.
     *
     * @param reports crash reports of this instance
     * @param fingerprintSupplier computes the fingerprint of the request
     * @param serializeAfter number of crashes from which copies of the request run one at a time
     */
    public RunGuard(
            CrashReports reports,
            Supplier<RequestFingerprint> fingerprintSupplier,
            int serializeAfter) {
        this(reports, fingerprintSupplier, serializeAfter, Optional.empty());
    }

    /**
     * Creates a guard.
     *
     * @param reports crash reports of this instance
     * @param fingerprintSupplier computes the fingerprint of the request
     * @param serializeAfter number of crashes from which copies of the request run one at a time
     * @param parts the parts of its prompt; empty if it has none
     */
    public RunGuard(
            CrashReports reports,
            Supplier<RequestFingerprint> fingerprintSupplier,
            int serializeAfter,
            Optional<PromptParts> parts) {
        mReports = reports;
        mRequest = new Suspect(reports, fingerprintSupplier, serializeAfter);
        mParts = parts;
        mPartSuspects =
                parts.map(PromptParts::all).orElse(List.of()).stream()
                        .map(part -> new Suspect(reports, () -> part, SERIALIZE_PROMPTS_AFTER))
                        .toList();
    }

    /**
     * Returns the fingerprint of the request, computed by the first call.
     *
     * @return the fingerprint
     */
    public RequestFingerprint fingerprint() {
        return mRequest.fingerprint();
    }

    /** Returns the parts of the prompt that may be what crashes engines. */
    private Stream<Suspect> suspectedParts() {
        return mPartSuspects.stream()
                .filter(part -> mParts.orElseThrow().maySuspect(part.fingerprint()));
    }

    /**
     * Returns the fingerprints of the parts of the prompt that may be what crashes engines.
     *
     * @return the fingerprints, in the order of the parts
     */
    public List<RequestFingerprint> suspectedPartFingerprints() {
        return suspectedParts().map(Suspect::fingerprint).toList();
    }

    /**
     * Returns whether the request must not be run any more.
     *
     * @return true if too many upstreams have crashed while running it, or prompts with a part of
     *     it
     */
    public boolean isQuarantined() {
        return mRequest.isQuarantined()
                || !mReports.isEmpty() && suspectedParts().anyMatch(Suspect::isQuarantined);
    }

    /**
     * Begins a run. Must be called immediately before the run, since a crash of this run is counted
     * in addition to all those known by then.
     *
     * @return false if the request must not run now, because it is quarantined or another request
     *     that shares a suspect with it is running
     */
    public boolean tryBeginRun() {
        return mRequest.tryBeginRun()
                && (mReports.isEmpty() || suspectedParts().allMatch(Suspect::tryBeginRun));
    }

    /**
     * Reports that the current run has failed and was not cancelled.
     *
     * @param failure how it failed; one for which {@link CrashReports#mayBeCrash} is true
     * @param upstream incarnation of the upstream that ran it
     * @param peer address of that upstream
     * @param resumePosition last event or token that the caller had when the run began; 0 for none
     * @param position last event or token that the caller has now
     */
    public void failed(
            Failure failure, Incarnation upstream, Peer peer, long resumePosition, long position) {
        mReports.suspectedCrash(failure, afterCrash(resumePosition, position), upstream, peer);
    }

    /**
     * Reports that the upstream of the current run is known to have crashed.
     *
     * @param resumePosition as in {@link #failed}
     * @param position as in {@link #failed}
     */
    public void crashed(long resumePosition, long position) {
        mReports.crashed(afterCrash(resumePosition, position));
    }

    /**
     * Reports that the current run was abandoned because its caller disconnected. Requests that
     * share a suspect with it wait for the run lock until it is known whether the upstream
     * survives.
     *
     * @param peer address of the upstream
     * @param isPlanned returns whether the upstream has announced its departure
     * @param resumePosition as in {@link #failed}
     * @param position as in {@link #failed}
     */
    public void abandoned(
            Peer peer, BooleanSupplier isPlanned, long resumePosition, long position) {
        List<CrashRecord> after = afterCrash(resumePosition, position);
        List<Suspect> locked = suspects().filter(Suspect::takeRunLock).toList();
        mReports.abandoned(after, peer, isPlanned, () -> locked.forEach(Suspect::releaseRunLock));
    }

    private Stream<Suspect> suspects() {
        return Stream.concat(Stream.of(mRequest), mPartSuspects.stream());
    }

    /**
     * Returns the records of all suspects, including a crash. A part crashes its upstream at the
     * beginning of the output, so the position says nothing of it.
     */
    private List<CrashRecord> afterCrash(long resumePosition, long position) {
        return Stream.concat(
                        Stream.of(mRequest.afterCrash(resumePosition, position)),
                        suspectedParts().map(part -> part.afterCrash(0, 0)))
                .toList();
    }

    /** Reports that an upstream has survived the request. */
    public void survived() {
        mRequest.survived();
        partsSurvived();
    }

    /**
     * Reports that an upstream has written an answer for longer than one that crashes on a part of
     * the prompt does.
     */
    public void partsSurvived() {
        mParts.ifPresent(PromptParts::proven);
        mPartSuspects.forEach(Suspect::survived);
        mPartSuspects.forEach(Suspect::close);
    }

    /** Releases the run locks, so that other requests that share a suspect can run. */
    @Override
    public void close() {
        suspects().forEach(Suspect::close);
    }
}
