/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import org.orchidmount.pgm.internal.Changes;
import org.orchidmount.pgm.internal.Session;
import org.orchidmount.table.UpstreamMode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/** {@code orchidmount undrain}. */
@Command(
        name = "undrain",
        description = "Gives drained upstreams new work again.",
        mixinStandardHelpOptions = true)
final class UndrainPgm implements Runnable {
    @ParentCommand private Main mMain;

    @Option(
            names = "--comment",
            defaultValue = "undrain",
            description = "Why, for the audit trail.")
    private String mComment;

    @Parameters(arity = "1..*", paramLabel = "UPSTREAM", description = "The upstreams' names.")
    private String[] mUpstreams;

    @Override
    public void run() {
        Session session = mMain.session();
        for (String upstream : mUpstreams) {
            Changes.setMode(session, upstream, UpstreamMode.ACTIVE, mComment);
        }
    }
}
