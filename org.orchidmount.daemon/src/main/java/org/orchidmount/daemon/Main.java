/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import org.orchidmount.Version;
import org.orchidmount.daemon.internal.HeapExhaustion;
import org.orchidmount.daemon.internal.StopSignals;
import org.orchidmount.daemon.internal.TableCheck;
import org.orchidmount.internal.log.LogSetup;
import org.orchidmount.settings.Settings;
import org.orchidmount.settings.SettingsProblem;
import org.orchidmount.settings.SettingsReader;
import org.orchidmount.settings.SettingsResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The program {@code orchidmountd}.
 *
 * <p>Exit codes: 0 after a planned stop, 1 if requests had to be broken off, 2 for a wrong command
 * line, 3 for wrong settings, 4 if the instance cannot start. Used by one thread.
 */
@Command(
        name = "orchidmountd",
        description = "Routes requests to prefill and decode engines and to plain services.",
        version = "orchidmountd " + Version.TEXT,
        mixinStandardHelpOptions = true)
public final class Main implements Callable<Integer> {
    private static final int EXIT_OK = 0;
    private static final int EXIT_BROKEN_OFF = 1;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_START = 4;

    @Option(names = "--check", description = "Check the settings and the first table, then exit.")
    private boolean mCheck;

    @Parameters(index = "0", paramLabel = "FILE", description = "The settings file.")
    private Path mFile;

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        int code = new CommandLine(new Main()).execute(arguments);
        System.exit(code);
    }

    @Override
    public Integer call() throws InterruptedException {
        switch (SettingsReader.read(mFile)) {
            case SettingsResult.Invalid(var problems) -> {
                problems.forEach(problem -> System.err.println("error: " + problem));
                return EXIT_SETTINGS;
            }
            case SettingsResult.Valid(Settings settings, var warnings) -> {
                for (SettingsProblem warning : warnings) {
                    System.err.println("warning: " + warning);
                }
                return mCheck ? check(settings) : run(settings);
            }
        }
    }

    private int check(Settings settings) {
        try {
            TableCheck.check(settings);
        } catch (IOException e) {
            System.err.println("error: " + e.getMessage());
            return EXIT_SETTINGS;
        }
        System.out.println(mFile + " is sound: instance " + settings.instance());
        return EXIT_OK;
    }

    private static int run(Settings settings) throws InterruptedException {
        HeapExhaustion.install();
        LogSetup.install(settings.log().json(), settings.log().level());
        try (Daemon daemon = Daemon.start(settings)) {
            AtomicBoolean asked = new AtomicBoolean();
            StopSignals.install(
                    () -> {
                        if (asked.getAndSet(true)) {
                            daemon.stopNow();
                        } else {
                            daemon.drainAndStop();
                        }
                    });
            System.out.println(
                    "orchidmountd ready callers="
                            + daemon.callerPort()
                            + " operators="
                            + daemon.operatorPort());
            return daemon.awaitStop() ? EXIT_OK : EXIT_BROKEN_OFF;
        } catch (IOException e) {
            System.err.println("error: " + e.getMessage());
            return EXIT_START;
        }
    }
}
