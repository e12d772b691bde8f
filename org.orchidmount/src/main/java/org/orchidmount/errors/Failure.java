/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.errors;

/**
 * Why a step did not succeed. Every failure names the step and the peer at which it arose.
 *
 * <p>Failures are immutable and thread-safe.
 */
public sealed interface Failure {
    /**
     * Returns the step that failed.
     *
     * @return the step
     */
    Step step();

    /**
     * Returns the peer spoken to, for example the name of an upstream.
     *
     * @return the peer's name
     */
    String peer();

    /**
     * Returns an explanation for people, without secrets.
     *
     * @return the explanation
     */
    String detail();

    /**
     * Tells whether a byte of the request may have reached the peer. Only a failure for which this
     * is false allows the answer "not run".
     *
     * @return false if it is certain that no byte was handed to the peer's connection
     */
    default boolean mayHaveRun() {
        return true;
    }

    /**
     * Formats the failure for a log line.
     *
     * @return step, peer and detail in one line
     */
    default String describe() {
        return step().label() + " at " + peer() + ": " + detail();
    }

    /** No connection could be made, so nothing was sent. */
    record Unreachable(Step step, String peer, String detail) implements Failure {
        @Override
        public boolean mayHaveRun() {
            return false;
        }
    }

    /** The connection broke after the request had begun to be sent. */
    record Broken(Step step, String peer, String detail) implements Failure {}

    /** The peer did not answer within the time allowed. */
    record TimedOut(Step step, String peer, String detail) implements Failure {}

    /** This instance lost its path to the peer, which may well go on with the request. */
    record PathLost(Step step, String peer, String detail) implements Failure {}

    /** The peer answered with an error status. */
    record Rejected(Step step, String peer, int status, String detail) implements Failure {}

    /** The peer's answer does not follow the protocol or belongs to another request. */
    record Garbled(Step step, String peer, String detail) implements Failure {}

    /** Another instance has taken the stream over, so it goes on there. */
    record Superseded(Step step, String peer, String detail) implements Failure {}

    /** The caller has gone, so the work is of no further use. */
    record CallerGone(Step step, String peer, String detail) implements Failure {}
}
