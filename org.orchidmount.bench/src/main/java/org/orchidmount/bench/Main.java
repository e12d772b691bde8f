/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.bench;

import org.orchidmount.internal.log.LogSetup;
import org.orchidmount.junit.ChildProcess;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The program {@code bin/bench}: measurements on this machine. Used by one thread. */
@Command(
        name = "bench",
        description = "Measures the router on this machine, with stand-ins.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {OverheadBench.class, StartBench.class})
public final class Main implements Runnable {
    private static final String MEASURED_TIER = "4";

    @Spec private CommandSpec mSpec;

    private Main() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        LogSetup.install(false, "WARNING");
        System.setProperty(ChildProcess.TIER, MEASURED_TIER);
        System.exit(new CommandLine(new Main()).execute(arguments));
    }

    @Override
    public void run() {
        throw new ParameterException(mSpec.commandLine(), "name a command");
    }
}
