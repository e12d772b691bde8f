/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

/**
 * Ends a process in which a thread has ended because the heap is exhausted, so that it is started
 * again instead of running on without a listener, a timer or a link.
 *
 * <p>It ends as if it was killed: no response is ended in order that is not whole. Stateless and
 * thread-safe.
 */
public final class HeapExhaustion {
    /** Exit code EX_SOFTWARE of sysexits.h. */
    public static final int EXIT_CODE = 70;

    /** Made before it is needed, when there may be no memory for it. */
    private static final String LINE =
            "orchidmount: the heap is exhausted and a thread has ended; this process ends";

    private HeapExhaustion() {}

    /** Installs the handler for all threads that have none of their own. */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler(HeapExhaustion::handle);
    }

    private static void handle(Thread thread, Throwable error) {
        if (!(error instanceof OutOfMemoryError)) {
            System.err.print("Exception in thread \"" + thread.getName() + "\" ");
            error.printStackTrace();
            return;
        }
        try {
            System.err.println(LINE);
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
