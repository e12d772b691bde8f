/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.Await;

/** Tests {@code QueuedHandler}. */
final class QueuedHandlerTest {
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final int MANY = 20_000;

    private final CountDownLatch mReaderGoesOn = new CountDownLatch(1);
    private final ByteArrayOutputStream mRead = new ByteArrayOutputStream();

    /** Takes nothing until the reader goes on. */
    private final class StalledReader extends OutputStream {
        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            try {
                mReaderGoesOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (mRead) {
                mRead.write(bytes, from, length);
            }
        }
    }

    private static final class Plain extends Formatter {
        @Override
        public String format(LogRecord record) {
            return record.getMessage() + "\n";
        }
    }

    private QueuedHandler handler() {
        PrintStream out = new PrintStream(new StalledReader(), false, StandardCharsets.UTF_8);
        return new QueuedHandler(out, new Plain());
    }

    private String read() {
        synchronized (mRead) {
            return mRead.toString(StandardCharsets.UTF_8);
        }
    }

    private static void publish(QueuedHandler handler, int count) {
        for (int i = 0; i < count; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
    }

    @Test
    void linesAreWrittenInOrder() {
        mReaderGoesOn.countDown();
        QueuedHandler handler = handler();
        publish(handler, 3);
        Await.until("written", LONGEST, () -> read().endsWith("line 2\n"));
        assertThat(read()).isEqualTo("line 0\nline 1\nline 2\n");
    }

    /** Returning at all shows that nobody waited; the reader takes nothing meanwhile. */
    @Test
    void aReaderThatStallsHoldsNobodyUp() {
        QueuedHandler handler = handler();
        publish(handler, MANY);
        assertThat(read()).isEmpty();
        mReaderGoesOn.countDown();
        Await.until("dropped", LONGEST, () -> read().contains(" lines dropped\n"));
        Await.until("written", LONGEST, () -> read().lines().count() > 8_000);
        assertThat(read()).startsWith("line 0\n");
        assertThat(read()).doesNotContain("line " + (MANY - 1) + "\n");
    }

    @Test
    void anEndWaitsForTheLines() {
        mReaderGoesOn.countDown();
        QueuedHandler handler = handler();
        publish(handler, 100);
        handler.close();
        Await.until("written", LONGEST, () -> read().endsWith("line 99\n"));
    }
}
