/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaOwner;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.SharedQuota;

/** Run locks of two instances that ask one owner. */
final class QuotaRunLockTest {
    private static final RequestFingerprint REQUEST = Fingerprints.of("a");
    private static final RequestFingerprint OTHER = Fingerprints.of("b");

    private final ManualClock mClock = new ManualClock();
    private final Owner mOwner = new Owner();
    private final QuotaRunLock mOne = new QuotaRunLock(new SharedQuota(mOwner));
    private final QuotaRunLock mTwo = new QuotaRunLock(new SharedQuota(mOwner));

    private final class Owner implements QuotaOwnerClient {
        private final QuotaOwner mBuckets = new QuotaOwner();
        private boolean mIsSilent;
        private long mAnswersAfterMillis;

        @Override
        public CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request) {
            QuotaAnswer answer =
                    mIsSilent ? QuotaAnswer.NO_OWNER : mBuckets.ask(request, mClock.nanoTime());
            return mAnswersAfterMillis == 0
                    ? CompletableFuture.completedFuture(answer)
                    : new CompletableFuture<QuotaAnswer>()
                            .completeOnTimeout(answer, mAnswersAfterMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void refund(String key, long units) {
            mBuckets.refund(key, units, mClock.nanoTime());
        }
    }

    @BeforeEach
    void start() {
        mOwner.mBuckets.hold(1, 0, 0);
        mClock.advance(Duration.ofSeconds(10));
    }

    @Test
    void oneHasTheTurnUntilItsEnd() {
        assertThat(mOne.tryAcquire(REQUEST)).isTrue();
        assertThat(mTwo.tryAcquire(REQUEST)).isFalse();
        assertThat(mTwo.tryAcquire(OTHER)).isTrue();
        mOne.release(REQUEST);
        assertThat(mTwo.tryAcquire(REQUEST)).isTrue();
        assertThat(mOne.tryAcquire(REQUEST)).isFalse();
    }

    /** An instance that ends with its run lock holds up nobody for long. */
    @Test
    void aTurnThatIsNotEndedComesBackByItself() {
        assertThat(mOne.tryAcquire(REQUEST)).isTrue();
        mClock.advance(Duration.ofMillis(1_001));
        assertThat(mTwo.tryAcquire(REQUEST)).isTrue();
        mOne.release(REQUEST);
        mOne.release(REQUEST);
    }

    @Test
    void onlyATurnThatWasTakenIsEnded() {
        assertThat(mOne.tryAcquire(REQUEST)).isTrue();
        mTwo.release(REQUEST);
        assertThat(mTwo.tryAcquire(REQUEST)).isFalse();
    }

    /** Guards against two copies that run at once because a busy owner was taken for none. */
    @Test
    void anOwnerThatIsSlowIsWaitedFor() {
        mOwner.mAnswersAfterMillis = 120;
        assertThat(mOne.tryAcquire(REQUEST)).isTrue();
        assertThat(mTwo.tryAcquire(REQUEST)).isFalse();
    }

    @Test
    void withoutAnOwnerEachGivesTurnsByItself() {
        mOwner.mIsSilent = true;
        assertThat(mOne.tryAcquire(REQUEST)).isTrue();
        assertThat(mTwo.tryAcquire(REQUEST)).isTrue();
        mOne.release(REQUEST);
    }
}
