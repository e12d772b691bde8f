/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.util.concurrent.TimeoutException;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;

/**
 * Translates the exceptions of a call to failures that tell whether the request may have run.
 * Immutable.
 *
 * @param step the step of the call
 * @param peer the name of the peer
 */
record CallErrors(Step step, String peer) {
    /** A part of a call that waits. */
    @FunctionalInterface
    interface Blocking<T> {
        T run() throws IOException, TimeoutException, InterruptedException;
    }

    /** Runs a part of a call; aborts the call if the part does not end in time. */
    <T> T guard(Blocking<T> blocking, Runnable abort) throws CallFailedException {
        try {
            return blocking.run();
        } catch (TimeoutException e) {
            abort.run();
            throw new CallFailedException(new Failure.TimedOut(step, peer, "no answer in time"));
        } catch (InterruptedException e) {
            abort.run();
            Thread.currentThread().interrupt();
            throw new CallFailedException(new Failure.CallerGone(step, peer, "interrupted"));
        } catch (IOException e) {
            throw new CallFailedException(failure(e));
        }
    }

    /** Returns the failure for an exception, or for its cause where it was passed to a waiter. */
    private Failure failure(IOException e) {
        Throwable cause = e.getCause() == null ? e : e.getCause();
        if (cause instanceof NotSentException) {
            return new Failure.Unreachable(step, peer, e.getMessage());
        }
        if (cause instanceof PathLostException) {
            return new Failure.PathLost(step, peer, cause.getMessage());
        }
        if (cause instanceof GarbledResponseException
                || cause instanceof ReceiveLimit.ExceededException) {
            return new Failure.Garbled(step, peer, e.getMessage());
        }
        return new Failure.Broken(step, peer, reason(cause));
    }

    /** Some errors of channels have no message; then their type says what happened. */
    private static String reason(Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    /** The connection closed before a byte of the request was handed to it. */
    static final class NotSentException extends IOException {
        NotSentException() {
            super("the kept connection had closed");
        }
    }

    /** The call was broken off because another path to the upstreams was found. */
    static final class PathLostException extends IOException {
        PathLostException() {
            super("the direct path to the upstreams is lost");
        }
    }

    /** The response is not one that can be read. */
    static class GarbledResponseException extends IOException {
        GarbledResponseException(String message) {
            super(message);
        }
    }

    /** The response is not that of the call. */
    static final class ForeignResponseException extends GarbledResponseException {
        ForeignResponseException() {
            super("the answer is that of another request");
        }
    }
}
