/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.State;

/** One upstream as this instance sees it. Guarded by the lock of {@link UpstreamBook}. */
final class Upstream {
    /** By what share of its work a choice is varied, so that instances do not choose alike. */
    static final double TIE_SHARE = 0.1;

    private static final double WEIGHT = 0.15;
    private static final double SLOWNESS_WEIGHT = 0.3;
    private static final double FAILURE_MILLIS = 600;

    /** What is added for an upstream that was full a moment ago. */
    private static final double FULL_MILLIS = 1_000;

    /** What is added for an upstream that is avoided. */
    static final double AVOIDED_MILLIS = 100_000;

    private static final double SLOWNESS_HALF_LIFE_NANOS = 1.5e9;
    private static final double FAILURE_HALF_LIFE_NANOS = 3e9;
    private static final double LEAST_SLOWNESS = 0.7;
    private static final double MOST_SLOWNESS = 10;
    private static final long FULL_NANOS = Duration.ofMillis(60).toNanos();
    private static final long FIRST_AVOID_NANOS = Duration.ofMillis(150).toNanos();
    private static final int MOST_DOUBLINGS = 5;

    private Registration mRegistration;
    private int mRunning;
    private double mPendingMillis;
    private double mFailureShare;
    private double mSlowness = 1;
    private long mSlownessNanos;
    private long mFailedNanos;
    private int mFailuresInRow;
    private long mAvoidUntilNanos;
    private boolean mAvoided;
    private boolean mFull;
    private long mFullUntilNanos;

    Upstream(Registration registration) {
        mRegistration = registration;
    }

    Registration registration() {
        return mRegistration;
    }

    boolean isReady() {
        return mRegistration.state() == State.READY;
    }

    void update(Registration registration) {
        mRegistration = mRegistration.merge(registration);
    }

    void begin(double workMillis) {
        mRunning++;
        mPendingMillis += workMillis;
    }

    void endWork(double workMillis) {
        mPendingMillis = Math.max(0, mPendingMillis - workMillis);
    }

    void endRequest() {
        mRunning--;
    }

    /** Estimates when a piece of work would be done at ordinary speed, after what is queued. */
    double ordinaryMillis(double workMillis, UpstreamBook.Queue queue) {
        int slots = Math.max(1, mRegistration.slots());
        boolean serial = mRegistration.stage() != Registration.Stage.NONE;
        double pendingMillis = queue.millis(mRegistration.id(), mPendingMillis);
        double queueMillis = serial ? pendingMillis : pendingMillis / slots;
        return queueMillis + workMillis;
    }

    /** Estimates when a piece of work would be done; an avoided upstream comes last. */
    double expectedMillis(double workMillis, UpstreamBook.Queue queue, long nowNanos) {
        double slowness = slowness(nowNanos);
        double failures = mFailureShare * faded(nowNanos - mFailedNanos, FAILURE_HALF_LIFE_NANOS);
        double millis = ordinaryMillis(workMillis, queue) * slowness + failures * FAILURE_MILLIS;
        if (mFull && nowNanos - mFullUntilNanos < 0) {
            millis += FULL_MILLIS;
        }
        boolean avoided = mAvoided && nowNanos - mAvoidUntilNanos < 0;
        return avoided ? millis + AVOIDED_MILLIS : millis;
    }

    /** What was seen long ago counts less and less, or an upstream would never be tried again. */
    private double slowness(long nowNanos) {
        double share = faded(nowNanos - mSlownessNanos, SLOWNESS_HALF_LIFE_NANOS);
        return 1 + (mSlowness - 1) * share;
    }

    private static double faded(long ageNanos, double halfLifeNanos) {
        return Math.pow(0.5, Math.max(0, ageNanos) / halfLifeNanos);
    }

    void succeeded(double slowness, long nowNanos) {
        mFailureShare *= 1 - WEIGHT;
        mFailuresInRow = 0;
        mAvoided = false;
        double clamped = Math.clamp(slowness, LEAST_SLOWNESS, MOST_SLOWNESS);
        double before = slowness(nowNanos);
        mSlowness = before + SLOWNESS_WEIGHT * (clamped - before);
        mSlownessNanos = nowNanos;
    }

    void failed(long nowNanos) {
        mFailureShare *= faded(nowNanos - mFailedNanos, FAILURE_HALF_LIFE_NANOS);
        mFailureShare += WEIGHT * (1 - mFailureShare);
        mFailedNanos = nowNanos;
        mFailuresInRow++;
        if (mFailuresInRow > 1) {
            int doublings = Math.min(MOST_DOUBLINGS, mFailuresInRow - 2);
            avoid(nowNanos, FIRST_AVOID_NANOS << doublings);
        }
    }

    /** Notes that no connection could be made: the upstream is most likely gone. */
    void unreachable(long nowNanos) {
        mFailuresInRow = Math.max(mFailuresInRow, 2);
        failed(nowNanos);
    }

    /** Notes that the upstream has no room: it is well, and has room again before long. */
    void full(long nowNanos) {
        mFull = true;
        mFullUntilNanos = nowNanos + FULL_NANOS;
    }

    private void avoid(long nowNanos, long nanos) {
        long until = nowNanos + nanos;
        if (!mAvoided || until - mAvoidUntilNanos > 0) {
            mAvoidUntilNanos = until;
        }
        mAvoided = true;
    }
}
