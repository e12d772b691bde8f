/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.log.LogSetup;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in as a process of its own; it prints its port and runs until it is killed. */
@Command(
        name = "stand-ins",
        description = "Stand-ins for engines and plain services.",
        mixinStandardHelpOptions = true,
        subcommands = {StandIns.Engine.class, StandIns.Plain.class})
public final class StandIns {
    private static final String LOOPBACK = "127.0.0.1";

    private StandIns() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        LogSetup.install(false, "INFO");
        int code = new CommandLine(new StandIns()).execute(arguments);
        if (code != 0) {
            System.exit(code);
        }
    }

    private static int serve(int port) throws InterruptedException {
        System.out.println("stand-in ready port=" + port);
        Thread.currentThread().join();
        return 0;
    }

    /** Runs an engine. */
    @Command(name = "engine", description = "A model engine.", mixinStandardHelpOptions = true)
    static final class Engine implements Callable<Integer> {
        @Option(names = "--name", defaultValue = "engine", description = "The engine's name.")
        private String mName;

        @Option(names = "--config", description = "A JSON file with all fields of its behaviour.")
        private Path mConfig;

        @Option(names = "--port", defaultValue = "0", description = "The port, 0 for a free one.")
        private int mPort;

        @Option(names = "--seed", defaultValue = "1", description = "Makes faults repeatable.")
        private long mSeed;

        @Override
        public Integer call() throws Exception {
            EngineConfig config =
                    mConfig == null
                            ? EngineConfig.small(mName)
                            : Json.MAPPER.readValue(mConfig.toFile(), EngineConfig.class);
            return serve(new FakeEngine(config, LOOPBACK, mPort, mSeed).port());
        }
    }

    /** Runs a plain service. */
    @Command(name = "plain", description = "A plain service.", mixinStandardHelpOptions = true)
    static final class Plain implements Callable<Integer> {
        @Option(names = "--name", defaultValue = "plain", description = "The service's name.")
        private String mName;

        @Option(names = "--port", defaultValue = "0", description = "The port, 0 for a free one.")
        private int mPort;

        @Option(names = "--seed", defaultValue = "1", description = "Makes faults repeatable.")
        private long mSeed;

        @Override
        public Integer call() throws Exception {
            return serve(new FakePlainService(mName, LOOPBACK, mPort, mSeed).port());
        }
    }
}
