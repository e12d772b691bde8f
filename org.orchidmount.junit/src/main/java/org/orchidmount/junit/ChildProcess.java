/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A Java program run as a process of its own by a test or by the demo.
 *
 * <p>Invariant: the process is ended when this object is closed. Thread-safe.
 */
public final class ChildProcess implements AutoCloseable {
    /** The system property that sets the compiler tier of child processes; 4 to measure. */
    public static final String TIER = "orchidmount.child.tier";

    private static final int QUICK_START_TIER = 1;
    private static final long READY_SECONDS = 60;

    private final String mName;
    private final Process mProcess;
    private final String mReadyLine;
    private final Path mLog;

    private ChildProcess(String name, Process process, String readyLine, Path log) {
        mName = name;
        mProcess = process;
        mReadyLine = readyLine;
        mLog = log;
    }

    /**
     * Starts a program with the class path of this one and waits for its ready line.
     *
     * @param name names the process and its log
     * @param folder where the log goes
     * @param options options of the virtual machine
     * @param mainClass the class to run
     * @param arguments its arguments
     * @return the running process
     * @throws IOException if it ends or is not ready in time; the message holds its log
     */
    public static ChildProcess start(
            String name,
            Path folder,
            List<String> options,
            String mainClass,
            List<String> arguments)
            throws IOException {
        Path log = folder.resolve(name + ".log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=" + Integer.getInteger(TIER, QUICK_START_TIER));
        command.add("--enable-native-access=ALL-UNNAMED");
        command.add("--sun-misc-unsafe-memory-access=allow");
        command.addAll(options);
        command.add("-cp");
        command.add(
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(mainClass);
        command.addAll(arguments);
        Process process =
                new ProcessBuilder(command)
                        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
                        .start();
        try {
            return new ChildProcess(name, process, awaitReady(process), log);
        } catch (IOException e) {
            process.destroyForcibly();
            throw new IOException(
                    name + " did not start: " + e.getMessage() + "\n" + Files.readString(log), e);
        }
    }

    private static String awaitReady(Process process) throws IOException {
        CompletableFuture<String> ready = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> readOutput(process, ready));
        try {
            String line = ready.get(READY_SECONDS, TimeUnit.SECONDS);
            if (line == null) {
                throw new IOException("it ended before it was ready");
            }
            return line;
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("it was not ready in " + READY_SECONDS + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static void readOutput(Process process, CompletableFuture<String> ready) {
        try (BufferedReader output = process.inputReader()) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                if (line.contains(" ready ")) {
                    ready.complete(line);
                }
            }
            ready.complete(null);
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
    }

    /**
     * Reads a port from the ready line.
     *
     * @param key the name before the equals sign
     * @return the port
     */
    public int port(String key) {
        for (String word : mReadyLine.split(" ")) {
            if (word.startsWith(key + "=")) {
                return Integer.parseInt(word.substring(key.length() + 1));
            }
        }
        throw new IllegalStateException(mName + " printed no " + key + ": " + mReadyLine);
    }

    /** Ends the process without warning, as a crash would. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit(READY_SECONDS);
    }

    /** Asks the process to stop as planned. */
    public void terminate() {
        mProcess.destroy();
    }

    /**
     * Sends a signal.
     *
     * @param signal its name without "SIG", for example "STOP"
     */
    public void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(mProcess.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for the process to end.
     *
     * @param seconds the longest wait
     * @return its exit code, or -1 if it still runs
     */
    public int awaitExit(long seconds) {
        try {
            return mProcess.waitFor(seconds, TimeUnit.SECONDS) ? mProcess.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /**
     * Returns what the process has written to its log.
     *
     * @return the text
     */
    public String log() {
        try {
            return Files.readString(mLog);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the processor time the process has used.
     *
     * @return the time, user and system together
     */
    public Duration cpuTime() {
        return mProcess.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /**
     * Returns the process's id.
     *
     * @return the id
     */
    public long pid() {
        return mProcess.pid();
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            kill();
        }
    }
}
