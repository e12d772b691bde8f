/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

/** Ends a thread by an error, and says so if the process lives on. */
final class HeapExhaustionProgram {
    private HeapExhaustionProgram() {}

    public static void main(String[] arguments) throws InterruptedException {
        HeapExhaustion.install();
        Runnable task = arguments[1].equals("heap") ? () -> fill() : () -> fail();
        Thread thread =
                arguments[0].equals("virtual")
                        ? Thread.ofVirtual().start(task)
                        : Thread.ofPlatform().start(task);
        thread.join();
        System.err.println("lives on");
    }

    private static void fill() {
        byte[][] all = new byte[1_000][];
        for (int i = 0; i < all.length; i++) {
            all[i] = new byte[1024 * 1024];
        }
    }

    private static void fail() {
        throw new IllegalStateException("failed");
    }
}
