/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.clock;

import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * {@link BootTime} of Linux, by a call of the C library. Linking it costs about half as much
 * processor time as the rest of an instance's start, so it is loaded once callers are served.
 * Invariant: each call writes to memory of its own. Thread-safe.
 */
public final class LinuxBootTime implements BootTime {
    /** {@code CLOCK_BOOTTIME} of linux/time.h. */
    private static final int CLOCK_BOOTTIME = 7;

    /** Two numbers of 64 bits, seconds and nanoseconds: {@code struct timespec}. */
    private static final int TIMESPEC_BYTES = 16;

    private static final int NANOS_OFFSET = 8;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** {@code int clock_gettime(clockid_t, struct timespec *)}. */
    private static final MethodHandle CLOCK_GETTIME = link();

    private final Queue<Timespec> mFree = new ConcurrentLinkedQueue<>();

    /** Memory that one call at a time writes to. */
    private static final class Timespec {
        final ByteBuffer mBytes =
                ByteBuffer.allocateDirect(TIMESPEC_BYTES).order(ByteOrder.nativeOrder());
        final long mAddress = MemorySegment.ofBuffer(mBytes).address();

        long nanos() {
            return mBytes.getLong(0) * NANOS_PER_SECOND + mBytes.getLong(NANOS_OFFSET);
        }
    }

    private LinuxBootTime() {}

    // The call is given its memory here, of the size that the C library writes.
    @SuppressWarnings("restricted")
    private static MethodHandle link() {
        Linker linker = Linker.nativeLinker();
        FunctionDescriptor types =
                FunctionDescriptor.of(
                        ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.JAVA_LONG);
        return linker.defaultLookup()
                .find("clock_gettime")
                .map(
                        address ->
                                linker.downcallHandle(
                                        address, types, Linker.Option.critical(false)))
                .orElse(null);
    }

    /**
     * Opens the clock of this machine.
     *
     * @return the clock; nothing if the machine has none
     */
    public static Optional<BootTime> open() {
        boolean isLinux = System.getProperty("os.name").equals("Linux");
        if (!isLinux || CLOCK_GETTIME == null) {
            return Optional.empty();
        }
        LinuxBootTime time = new LinuxBootTime();
        return call(new Timespec()) == 0 ? Optional.of(time) : Optional.empty();
    }

    @Override
    public long nanos() {
        Timespec memory = mFree.poll();
        if (memory == null) {
            memory = new Timespec();
        }
        int error = call(memory);
        if (error != 0) {
            throw new IllegalStateException("clock_gettime fails with " + error);
        }
        long nanos = memory.nanos();
        mFree.add(memory);
        return nanos;
    }

    private static int call(Timespec memory) {
        try {
            return (int) CLOCK_GETTIME.invokeExact(CLOCK_BOOTTIME, memory.mAddress);
        } catch (Throwable e) {
            throw new IllegalStateException("clock_gettime cannot be called", e);
        }
    }
}
