/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import org.orchidmount.Version;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code orchidmount version}. */
@Command(
        name = "version",
        description = "Shows the version of this tool.",
        mixinStandardHelpOptions = true)
final class VersionPgm implements Runnable {
    @Spec private CommandSpec mSpec;

    @Override
    public void run() {
        mSpec.commandLine().getOut().println("orchidmount " + Version.TEXT);
    }
}
