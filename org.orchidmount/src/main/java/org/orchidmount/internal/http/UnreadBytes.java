/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

/**
 * Accounts for the bytes of one response that are held because its caller has not read them.
 * Thread-safe; never blocks for a caller.
 */
public interface UnreadBytes {
    /** Opens the account of a response. */
    @FunctionalInterface
    interface Opener {
        /**
         * Opens an account.
         *
         * @param disconnect disconnects the caller, because the bounds ask for it; run on any
         *     thread, with no lock held
         * @return the account
         */
        UnreadBytes open(Runnable disconnect);
    }

    /**
     * Asks to hold more bytes.
     *
     * @param bytes the number of bytes
     * @param isComplete whether they are all that is left of the response
     * @return false if they must not be held; the account is then closed, and the caller has to be
     *     disconnected
     */
    boolean add(int bytes, boolean isComplete);

    /**
     * Takes back bytes that are no longer held.
     *
     * @param bytes the number of bytes
     */
    void remove(int bytes);

    /** Closes the account of a caller that is disconnected because it has stopped reading. */
    void stalled();

    /** Closes the account: nothing is held any more. */
    void close();
}
