/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

/**
 * Writes the body of a response. Implementations differ in what they do while the caller does not
 * read. Used by one thread at a time, except {@link #fail}, which is thread-safe.
 */
interface ResponseWriter {
    /**
     * Writes a part of the body.
     *
     * @param bytes the part; not to be changed afterwards
     * @param timeout the longest wait
     */
    void write(byte[] bytes, Duration timeout)
            throws IOException, TimeoutException, InterruptedException;

    /**
     * Ends the body.
     *
     * @param timeout the longest wait
     * @param onEnded run on the I/O thread once the last byte has left
     */
    void end(Duration timeout, Runnable onEnded)
            throws IOException, TimeoutException, InterruptedException;

    /**
     * Writes the whole body and ends it. Must be called on the I/O thread, so that a whole answer
     * costs one change of threads.
     *
     * @param bytes the body
     * @param done completed when the writer's caller need not wait any longer
     * @param onEnded run on the I/O thread once the last byte has left
     */
    void writeAndEnd(byte[] bytes, CompletableFuture<Void> done, Runnable onEnded);

    /**
     * Ends the response without the end of its body.
     *
     * @param close closes the connection; may be called on any thread
     */
    void abort(Runnable close);

    /** Fails a write that is under way, because the connection has closed. */
    void fail(IOException error);

    /**
     * Runs an action as soon as nothing is left to be written.
     *
     * @param action the action; run on any thread, at once if nothing is left; it must not block
     */
    void whenDelivered(Runnable action);
}
