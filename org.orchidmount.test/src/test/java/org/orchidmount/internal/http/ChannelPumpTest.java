/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/** Tests {@link ChannelPump}. */
final class ChannelPumpTest {
    /** A reader that is not told waits as long. */
    private static final Duration DEADLINE = Duration.ofMillis(100);

    /** What reading fails with. */
    private enum Cause {
        NO_MEMORY,
        FAULT,
        CLOSED
    }

    private static void fail(Cause cause) throws IOException {
        switch (cause) {
            case NO_MEMORY -> throw new OutOfMemoryError("no room for a chunk");
            case FAULT -> throw new IllegalStateException("a fault of the library");
            default -> throw new IOException("closed");
        }
    }

    private static StreamSourceChannel channel(Cause cause) {
        ChannelListener.Setter<StreamSourceChannel> setter = listener -> {};
        return (StreamSourceChannel)
                Proxy.newProxyInstance(
                        ChannelPumpTest.class.getClassLoader(),
                        new Class<?>[] {StreamSourceChannel.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("read")) {
                                fail(cause);
                            }
                            return method.getName().equals("getReadSetter") ? setter : null;
                        });
    }

    /** Guards against a reader that waits for its deadline after an error on the I/O thread. */
    @ParameterizedTest
    @EnumSource(Cause.class)
    void whateverEndsReadingIsToldToTheReader(Cause cause) throws InterruptedException {
        ByteQueue queue = new ByteQueue(() -> {});
        try (ByteBufferPool pool = new DefaultByteBufferPool(false, 1_024)) {
            ChannelPump pump = new ChannelPump(channel(cause), pool, queue, new ReceiveLimit());
            Thread.ofVirtual().start(pump::start).join();
        }
        assertThrows(IOException.class, () -> queue.take(DEADLINE));
        assertThat(queue.hasEndedWhole()).isFalse();
    }
}
