/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.orchidmount.internal.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * {@code bench start}: what the start of an entry costs, from its command to the moment at which it
 * listens, by the command and the settings that the build uses for its training.
 *
 * <p>An entry of the users' platform has a third of a core, and after a loss of power all of them
 * start at once: the processor time of a start is time in which nobody is served. Prints a JSON
 * line. Used by one thread.
 */
@Command(
        name = "start",
        description = "Measures the processor time of an entry's start, after deploy/build.",
        mixinStandardHelpOptions = true)
final class StartBench implements Callable<Integer> {
    /** The command of the entry in the deploy file. */
    private static final Pattern RUN =
            Pattern.compile("\\[roles\\.entry]\\s+run = \"([^\"]+)\"", Pattern.DOTALL);

    /** Where the training's entry listens to callers, in its settings. */
    private static final Pattern CALLERS = Pattern.compile("\"callers\": \"([^:]+):(\\d+)\"");

    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final Path SETTINGS = Path.of("deploy", "training-entry.json");
    private static final String SETTINGS_VARIABLE = "ORCHIDMOUNT_BOOT";

    /** Far longer than any start. */
    private static final Duration LONGEST_START = Duration.ofSeconds(20);

    private static final int CONNECT_MILLIS = 100;

    @Spec private CommandSpec mSpec;

    @Option(names = "--runs", defaultValue = "9", description = "Counted starts, after one more.")
    private int mRuns;

    @Option(names = "--checkout", defaultValue = ".", description = "The checkout to measure.")
    private Path mCheckout;

    @Override
    public Integer call() throws Exception {
        Path folder = mCheckout.toAbsolutePath().normalize();
        if (!Files.exists(folder.resolve(DEPLOY_FILE))) {
            throw new ParameterException(
                    mSpec.commandLine(),
                    folder + " has no " + DEPLOY_FILE + "; name a checkout with --checkout");
        }
        List<String> command = List.of(find(RUN, folder.resolve(DEPLOY_FILE)).group(1).split(" "));
        Matcher callers = find(CALLERS, folder.resolve(SETTINGS));
        InetSocketAddress address =
                new InetSocketAddress(callers.group(1), Integer.parseInt(callers.group(2)));
        start(folder, command, address);
        long[] millis = new long[mRuns];
        for (int i = 0; i < mRuns; i++) {
            millis[i] = start(folder, command, address).toMillis();
        }
        print(millis);
        return 0;
    }

    private static Matcher find(Pattern pattern, Path file) throws IOException {
        Matcher matcher = pattern.matcher(Files.readString(file));
        if (!matcher.find()) {
            throw new IOException(file + " has no text like " + pattern);
        }
        return matcher;
    }

    /** Starts an entry, ends it once it listens, and returns the processor time until then. */
    private static Duration start(Path folder, List<String> command, InetSocketAddress address)
            throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(folder.toFile());
        builder.environment().put(SETTINGS_VARIABLE, SETTINGS.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Process process = builder.start();
        try {
            awaitListening(process, address);
            return process.info().totalCpuDuration().orElseThrow();
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static void awaitListening(Process process, InetSocketAddress address)
            throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + LONGEST_START.toNanos();
        while (!isListening(address)) {
            if (!process.isAlive() || System.nanoTime() - endNanos > 0) {
                throw new IOException("the entry does not start; run deploy/build before");
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static boolean isListening(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MILLIS);
            return true;
        } catch (IOException notYet) {
            // Expected until the entry listens; if it never does, the caller says so.
            return false;
        }
    }

    private static void print(long[] millis) {
        Arrays.sort(millis);
        ObjectNode line = Json.object().put("measure", "start").put("runs", millis.length);
        line.put("leastMillis", millis[0]);
        line.put("medianMillis", millis[millis.length / 2]);
        line.put("mostMillis", millis[millis.length - 1]);
        System.out.println(line);
    }
}
