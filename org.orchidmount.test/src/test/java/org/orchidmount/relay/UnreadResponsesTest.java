/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.UnreadBytes;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.relay.UnreadResponses.Reason;

/** Tests {@link UnreadResponses}: the count is exact, and only who is chosen is disconnected. */
final class UnreadResponsesTest {
    private static final int CALLER_BYTES = 1_000;
    private static final int TOTAL_BYTES = 5_000;
    private static final int THREADS = 16;
    private static final int STEPS = 20_000;

    private final ManualClock mClock = new ManualClock();
    private final List<String> mDisconnected = new ArrayList<>();
    private final UnreadResponses mUnread =
            new UnreadResponses(new UnreadRule(CALLER_BYTES, TOTAL_BYTES), mClock);

    private UnreadBytes open(String id) {
        return mUnread.open(id, () -> mDisconnected.add(id));
    }

    @Test
    void whatIsReadIsNotHeld() {
        UnreadBytes caller = open("a");
        assertThat(mUnread.callersBehind()).isEqualTo(0);
        assertThat(caller.add(600, false)).isTrue();
        assertThat(mUnread.callersBehind()).isEqualTo(1);
        caller.remove(600);
        assertThat(caller.add(700, false)).isTrue();
        assertThat(mUnread.heldBytes()).isEqualTo(700);
        caller.close();
        caller.close();
        caller.remove(700);
        assertThat(mUnread.heldBytes()).isEqualTo(0);
        assertThat(mUnread.callersBehind()).isEqualTo(0);
        assertThat(mUnread.mostHeldBytes()).isEqualTo(700);
        assertThat(caller.add(1, false)).isFalse();
    }

    @Test
    void aCallerOverItsBoundIsRefusedAndHoldsNothing() {
        UnreadBytes caller = open("a");
        UnreadBytes neighbour = open("b");
        assertThat(neighbour.add(1_000, false)).isTrue();
        assertThat(caller.add(600, false)).isTrue();
        assertThat(caller.add(600, false)).isFalse();
        assertThat(mUnread.heldBytes()).isEqualTo(1_000);
        assertThat(mUnread.disconnected(Reason.CALLER_BYTES)).isEqualTo(1);
        assertThat(neighbour.add(1, true)).isTrue();
        assertThat(mDisconnected).isEmpty();
    }

    @Test
    void aCompleteResponseMayExceedTheBoundForOneCaller() {
        assertThat(open("a").add(4_000, true)).isTrue();
        assertThat(open("b").add(5_001, true)).isFalse();
        assertThat(mUnread.heldBytes()).isEqualTo(4_000);
        assertThat(mUnread.disconnected(Reason.TOTAL_BYTES)).isEqualTo(1);
    }

    @Test
    void aGreedyCallerAloneIsDisconnectedForTheTotal() {
        List<UnreadBytes> neighbours = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            neighbours.add(open("n" + i));
            assertThat(neighbours.getLast().add(100, false)).isTrue();
        }
        UnreadBytes greedy = open("greedy");
        mClock.advance(Duration.ofSeconds(2));
        assertThat(greedy.add(900, false)).isTrue();
        assertThat(neighbours.getFirst().add(200, false)).isTrue();
        assertThat(mDisconnected).containsExactly("greedy");
        assertThat(greedy.add(1, false)).isFalse();
        assertThat(mUnread.heldBytes()).isEqualTo(4_200);
        assertThat(mUnread.mostHeldBytes()).isAtMost(TOTAL_BYTES);
    }

    /** A caller that reads a large response is spared while another has not read for long. */
    @Test
    void theAgeOfBytesCounts() {
        UnreadBytes old = open("old");
        assertThat(old.add(900, false)).isTrue();
        mClock.advance(Duration.ofSeconds(2));
        UnreadBytes reading = open("reading");
        assertThat(reading.add(3_000, true)).isTrue();
        UnreadBytes other = open("other");
        assertThat(other.add(1_000, false)).isTrue();
        assertThat(open("last").add(900, false)).isTrue();
        assertThat(mDisconnected).containsExactly("old");
    }

    /** Bytes that were added behind others, which have been read, are not older than they are. */
    @Test
    void bytesAreAsOldAsTheyAre() {
        UnreadBytes reading = open("reading");
        UnreadBytes old = open("old");
        for (int i = 0; i < 20; i++) {
            assertThat(reading.add(500, false)).isTrue();
            mClock.advance(Duration.ofMillis(400));
            reading.remove(500);
        }
        assertThat(old.add(400, false)).isTrue();
        mClock.advance(Duration.ofMillis(2_100));
        assertThat(reading.add(1_000, false)).isTrue();
        for (int i = 0; i < 4; i++) {
            assertThat(open("filler").add(1_000, false)).isTrue();
        }
        assertThat(mDisconnected).containsExactly("old");
    }

    @Test
    void aStalledCallerIsCounted() {
        UnreadBytes caller = open("a");
        assertThat(caller.add(10, true)).isTrue();
        caller.stalled();
        caller.stalled();
        assertThat(mUnread.disconnected(Reason.STALLED)).isEqualTo(1);
        assertThat(mUnread.heldBytes()).isEqualTo(0);
        assertThat(mUnread.toString()).contains("{STALLED=1}");
    }

    /** Guards against counts that drift, and against a bound that is exceeded between threads. */
    @Test
    void countsAreExactUnderThreads() throws Exception {
        UnreadResponses unread =
                new UnreadResponses(
                        new UnreadRule(CALLER_BYTES, TOTAL_BYTES), new SystemMonotonicClock());
        AtomicInteger disconnects = new AtomicInteger();
        try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
            for (int i = 0; i < THREADS; i++) {
                int seed = i;
                threads.submit(() -> useAtRandom(unread, new SplittableRandom(seed), disconnects));
            }
        }
        assertThat(unread.heldBytes()).isEqualTo(0);
        assertThat(unread.callersBehind()).isEqualTo(0);
        assertThat(unread.mostHeldBytes()).isAtMost(TOTAL_BYTES);
        assertThat(disconnects.get()).isAtLeast(1);
        assertThat(unread.disconnected(Reason.TOTAL_BYTES)).isAtLeast(disconnects.get());
    }

    private static void useAtRandom(
            UnreadResponses unread, SplittableRandom random, AtomicInteger disconnects) {
        UnreadBytes caller = unread.open("t", disconnects::incrementAndGet);
        int held = 0;
        for (int i = 0; i < STEPS; i++) {
            int bytes = random.nextInt(1, 400);
            if (random.nextInt(3) > 0) {
                if (caller.add(bytes, false)) {
                    held += bytes;
                } else {
                    caller = unread.open("t", disconnects::incrementAndGet);
                    held = 0;
                }
            } else if (held > 0) {
                caller.remove(held);
                held = 0;
            }
        }
        caller.close();
    }
}
