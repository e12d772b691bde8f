/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.orchidmount.evidence.UpstreamEvidence.Witness;

/**
 * Decides which upstreams are ejected because entries agree that they fail (outlier ejection).
 * Pure.
 *
 * <p>Witnesses must be in two availability zones, because an entry or a zone whose own links fail
 * sees every upstream fail.
 */
public final class EjectionRule {
    /** Age up to which failures of different entries count together. */
    static final Duration WINDOW = Duration.ofSeconds(3);

    /**
     * Maximum delay of a reported success: it waits up to 500 ms for the periodic report, while a
     * failure is reported immediately. A success reported within this time may be older than a
     * failure that was reported before it.
     */
    static final Duration SUCCESS_DELAY = Duration.ofMillis(600);

    /** Longest time after which a voter sends a digest about a change, with a margin. */
    static final Duration DIGEST_INTERVAL = Duration.ofMillis(1_100);

    /** Duration of the first ejection. */
    static final Duration FIRST = Duration.ofSeconds(2);

    /** Earliest time after an ejection at which entries other than the newest witness probe. */
    static final Duration OTHERS_WAIT = Duration.ofSeconds(1);

    /**
     * Time over which the first probes of the other entries are spread. An ejected upstream looks
     * idle, so without it every request that arrives before the first result is known is sent
     * there.
     */
    static final Duration OTHERS_SPREAD = Duration.ofSeconds(2);

    /** Maximum number of doublings of the duration, so that a dark upstream is probed every 8 s. */
    private static final int MAX_DOUBLINGS = 2;

    private static final int MIN_WITNESSES = 2;

    private static final int MIN_ZONES = 2;

    /**
     * Minimum number of witnesses in {@link #LONG_WINDOW}. If one request in five fails, two
     * failures in a row are common; three are rare.
     */
    private static final int MIN_WITNESSES_IN_LONG_WINDOW = 3;

    /**
     * Longer window, for upstreams that receive less than a request in 3 s, and for those that also
     * succeed.
     */
    private static final Duration LONG_WINDOW = Duration.ofSeconds(10);

    /** Failure share from which an upstream with recent successes fails only some requests. */
    private static final double MIXED_SHARE = 0.1;

    /** Failure share from which an upstream is ejected whatever the age of its failures. */
    private static final double FAILING_SHARE = 0.5;

    private static final int MIN_WITNESSES_OF_SHARE = 4;

    /** The most witnesses first, then the oldest success; the id makes the order unique. */
    private static final Comparator<UpstreamEvidence> WORST_FIRST =
            Comparator.comparingInt((UpstreamEvidence evidence) -> -evidence.witnesses().size())
                    .thenComparingLong(evidence -> -successAgeMillis(evidence))
                    .thenComparing(evidence -> evidence.upstream().id());

    private EjectionRule() {}

    /**
     * Returns whether the evidence shows that an upstream fails.
     *
     * @param evidence the evidence, with ages as of now
     * @param digestAgeMillis time since the latest digest about the upstream
     * @param zones number of availability zones that have entries
     * @return true if it is to be ejected
     */
    public static boolean isFailing(UpstreamEvidence evidence, long digestAgeMillis, int zones) {
        return failsNow(evidence, digestAgeMillis, zones) || failsMostly(evidence);
    }

    private static boolean failsNow(UpstreamEvidence evidence, long digestAgeMillis, int zones) {
        // A success may have been reported since, but not be in a digest yet.
        long unknownMillis = Math.min(digestAgeMillis, DIGEST_INTERVAL.toMillis());
        if (successAgeMillis(evidence) < SUCCESS_DELAY.toMillis() + unknownMillis) {
            return false;
        }
        boolean mixed =
                evidence.failureShare() >= MIXED_SHARE
                        && successAgeMillis(evidence) <= LONG_WINDOW.toMillis();
        return !mixed && agree(evidence, MIN_WITNESSES, WINDOW, zones)
                || agree(evidence, MIN_WITNESSES_IN_LONG_WINDOW, LONG_WINDOW, zones);
    }

    /** Returns whether enough entries have seen it fail in a window, one of them recently. */
    private static boolean agree(
            UpstreamEvidence evidence, int minWitnesses, Duration window, int zones) {
        List<Witness> seen =
                sinceSuccess(evidence)
                        .filter(witness -> witness.ageMillis() <= window.toMillis())
                        .toList();
        long seenIn = seen.stream().map(Witness::zone).distinct().count();
        return seen.size() >= minWitnesses
                && seenIn >= Math.min(MIN_ZONES, zones)
                && seen.stream().anyMatch(witness -> witness.ageMillis() <= WINDOW.toMillis());
    }

    /** A success ends an ejection, so the share counts again only with a failure after it. */
    private static boolean failsMostly(UpstreamEvidence evidence) {
        return evidence.failureShare() >= FAILING_SHARE
                && evidence.witnesses().size() >= MIN_WITNESSES_OF_SHARE
                && sinceSuccess(evidence).findAny().isPresent();
    }

    private static Stream<Witness> sinceSuccess(UpstreamEvidence evidence) {
        return evidence.witnesses().stream()
                .filter(witness -> witness.ageMillis() < successAgeMillis(evidence));
    }

    private static long successAgeMillis(UpstreamEvidence evidence) {
        return evidence.successAgeMillis() == UpstreamEvidence.NEVER
                ? Long.MAX_VALUE
                : evidence.successAgeMillis();
    }

    /**
     * Returns the state of an ejection under the current evidence.
     *
     * @param before the previous state
     * @param evidence the evidence, with ages as of now
     * @param digestAgeMillis time since the latest digest about the upstream
     * @param zones number of availability zones that have entries
     * @param nowNanos current monotonic time
     * @return the next state
     */
    public static Ejection next(
            Ejection before,
            UpstreamEvidence evidence,
            long digestAgeMillis,
            int zones,
            long nowNanos) {
        if (!before.isInForce() || hasRecovered(before, evidence, nowNanos)) {
            return isFailing(evidence, digestAgeMillis, zones) ? eject(1, nowNanos) : Ejection.NONE;
        }
        boolean probeFailed =
                before.isHalfOpen(nowNanos)
                        && sinceSuccess(evidence)
                                .anyMatch(
                                        witness ->
                                                witness.ageMillis()
                                                        < millis(nowNanos - before.untilNanos()));
        return probeFailed ? eject(before.count() + 1, nowNanos) : before;
    }

    private static boolean hasRecovered(
            Ejection ejection, UpstreamEvidence evidence, long nowNanos) {
        long sinceMillis = millis(nowNanos - ejection.sinceNanos());
        return successAgeMillis(evidence) <= sinceMillis - SUCCESS_DELAY.toMillis();
    }

    private static Ejection eject(int count, long nowNanos) {
        int doublings = Math.min(MAX_DOUBLINGS, count - 1);
        return new Ejection(count, nowNanos, nowNanos + (FIRST.toNanos() << doublings));
    }

    /**
     * Returns whether an entry may send a request to an upstream whose ejection has ended.
     *
     * @param ejection the ejection
     * @param evidence the evidence, with ages as of now
     * @param instance name of the entry
     * @param nowNanos current monotonic time
     * @return true if the entry may probe
     */
    public static boolean mayProbe(
            Ejection ejection, UpstreamEvidence evidence, String instance, long nowNanos) {
        if (!ejection.isHalfOpen(nowNanos)) {
            return false;
        }
        boolean isNewestWitness =
                !evidence.witnesses().isEmpty()
                        && evidence.witnesses().getFirst().instance().equals(instance);
        return isNewestWitness
                || nowNanos - ejection.untilNanos()
                        >= othersWaitNanos(evidence.upstream().id(), instance);
    }

    /** Differs by entry and upstream, and is the same in each cycle. */
    private static long othersWaitNanos(String upstream, String instance) {
        int hash = (upstream + " " + instance).hashCode() * 0x9E3779B9;
        double fraction = (hash >>> 1) / (double) Integer.MAX_VALUE;
        return OTHERS_WAIT.toNanos() + (long) (fraction * OTHERS_SPREAD.toNanos());
    }

    /**
     * Limits ejections to half of the available upstreams of a service and stage. Those with the
     * fewest witnesses and the most recent success stay in service.
     *
     * @param failing evidence of the upstreams to eject
     * @param available number of available upstreams, including these
     * @return the ids of those that are ejected
     */
    public static Set<String> withinLimit(List<UpstreamEvidence> failing, int available) {
        return failing.stream()
                .sorted(WORST_FIRST)
                .limit(available / 2)
                .map(evidence -> evidence.upstream().id())
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }
}
