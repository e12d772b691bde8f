/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.orchidmount.Version;
import org.orchidmount.internal.log.LogSetup;
import org.orchidmount.pgm.internal.CliException;
import org.orchidmount.pgm.internal.Session;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The program {@code orchidmount}.
 *
 * <p>Exit codes are those of {@link org.orchidmount.pgm.internal.ExitCode}. Used by one thread.
 */
@Command(
        name = "orchidmount",
        description = "Looks at and changes running instances.",
        version = "orchidmount " + Version.TEXT,
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        footer = {
            "",
            "Exit codes: 0 done, 1 failed, 2 wrong usage, 10 instance unreachable, 11 not allowed,",
            "12 conflict with another change, 13 change not valid, 14 not possible now."
        },
        subcommands = {
            AuditPgm.class,
            DrainPgm.class,
            ExplainPgm.class,
            RequestsPgm.class,
            StatusPgm.class,
            TablePgm.class,
            UndrainPgm.class,
            UpstreamsPgm.class,
            VersionPgm.class,
            AutoComplete.GenerateCompletion.class,
            CommandLine.HelpCommand.class
        })
public final class Main implements Runnable {
    /** How results are printed. */
    enum Output {
        TEXT,
        JSON
    }

    @Option(
            names = "--operators",
            paramLabel = "URL[,URL...]",
            defaultValue = "${env:ORCHIDMOUNT_OPERATORS}",
            description =
                    "The operators' listeners of the instances. Looks go to the first, changes to"
                            + " all. Default: the variable ORCHIDMOUNT_OPERATORS.")
    private String mOperators;

    @Option(
            names = "--token",
            defaultValue = "${env:ORCHIDMOUNT_TOKEN}",
            description = "The operator's token. Default: the variable ORCHIDMOUNT_TOKEN.")
    private String mToken;

    @Option(names = "--token-file", description = "A file that holds the operator's token.")
    private Path mTokenFile;

    @Option(
            names = "--output",
            defaultValue = "text",
            description = "text or json; default ${DEFAULT-VALUE}.")
    private Output mOutput;

    @Spec private CommandSpec mSpec;

    private Main() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        LogSetup.install(false, "WARNING");
        System.exit(run(arguments));
    }

    /**
     * Runs the program within this process.
     *
     * @param arguments the command line
     * @return the exit code
     */
    public static int run(String... arguments) {
        return run(
                new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8),
                arguments);
    }

    /**
     * Runs the program within this process.
     *
     * @param out takes the results
     * @param err takes the errors
     * @param arguments the command line
     * @return the exit code
     */
    public static int run(PrintWriter out, PrintWriter err, String... arguments) {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setOut(out);
        commandLine.setErr(err);
        commandLine.setExecutionExceptionHandler(
                (thrown, line, parsed) -> {
                    if (thrown instanceof CliException e) {
                        err.println("error: " + e.getMessage());
                        return e.code().number();
                    }
                    throw thrown;
                });
        int code = commandLine.execute(arguments);
        out.flush();
        return code;
    }

    Session session() {
        PrintWriter out = mSpec.commandLine().getOut();
        return new Session(mOperators, mToken, mTokenFile, mOutput == Output.JSON, out);
    }

    @Override
    public void run() {
        throw new ParameterException(mSpec.commandLine(), "name a command");
    }
}
