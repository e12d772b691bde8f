/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import org.orchidmount.api.Orchidmount;
import org.orchidmount.pgm.internal.Columns;
import org.orchidmount.pgm.internal.Session;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParentCommand;

/** {@code orchidmount upstreams}. */
@Command(
        name = "upstreams",
        description = "Shows what an instance knows of the upstreams.",
        mixinStandardHelpOptions = true)
final class UpstreamsPgm implements Runnable {
    @ParentCommand private Main mMain;

    @Override
    public void run() {
        Session session = mMain.session();
        JsonNode list = session.first(Orchidmount::upstreams);
        if (session.isJson()) {
            list.forEach(session::print);
            return;
        }
        Columns columns =
                new Columns("UPSTREAM", "ZONE", "TAKES WORK", "OWN", "REPORTED", "KV TAKEN", "KV");
        for (JsonNode json : list) {
            columns.add(
                    json.path("name").asText(),
                    json.path("zone").asText(),
                    json.path("available").asBoolean() ? "yes" : "no",
                    json.path("ownRunning").asInt(),
                    json.path("reportedRunning").asInt(),
                    json.path("kvBytesTaken").asLong(),
                    json.path("kvBytes").asLong());
        }
        session.out().print(columns);
    }
}
