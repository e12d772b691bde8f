/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.lang.Thread.UncaughtExceptionHandler;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.junit.Await;

/** Tests what {@link TaskThread} does with errors of the virtual machine. */
final class TaskThreadErrorTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);

    private enum Way {
        POSTED,
        DELAYED,
        PERIODIC
    }

    private final UncaughtExceptionHandler mBefore = Thread.getDefaultUncaughtExceptionHandler();
    private final BlockingQueue<Throwable> mReported = new LinkedBlockingQueue<>();
    private final AtomicInteger mRuns = new AtomicInteger();

    @BeforeEach
    void start() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> mReported.add(error));
    }

    @AfterEach
    void stop() {
        Thread.setDefaultUncaughtExceptionHandler(mBefore);
    }

    /** Guards against errors that nobody learns of and timers that they end. */
    @ParameterizedTest
    @EnumSource(Way.class)
    void anErrorIsReportedAndLaterTasksRun(Way way) throws Exception {
        try (TaskThread thread = new TaskThread("test", PartLog.of("test"))) {
            switch (way) {
                case POSTED -> thread.post(this::fail);
                case DELAYED -> thread.after(1, this::fail);
                default -> thread.every(1, this::fail);
            }
            Throwable error = mReported.poll(LONGEST.toSeconds(), TimeUnit.SECONDS);
            assertThat(error).isInstanceOf(OutOfMemoryError.class);
            int runs = way == Way.PERIODIC ? 3 : 2;
            thread.post(mRuns::incrementAndGet);
            Await.until("later tasks run", LONGEST, () -> mRuns.get() >= runs);
        }
    }

    private void fail() {
        if (mRuns.incrementAndGet() == 1) {
            throw new OutOfMemoryError("a test");
        }
    }
}
