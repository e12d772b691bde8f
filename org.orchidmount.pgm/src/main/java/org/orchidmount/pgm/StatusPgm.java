/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.orchidmount.api.Orchidmount;
import org.orchidmount.pgm.internal.Columns;
import org.orchidmount.pgm.internal.Session;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParentCommand;

/** {@code orchidmount status}. */
@Command(
        name = "status",
        description = "Shows how the instances are.",
        mixinStandardHelpOptions = true)
final class StatusPgm implements Runnable {
    @ParentCommand private Main mMain;

    @Override
    public void run() {
        Session session = mMain.session();
        List<Session.Answer> answers = session.each(Orchidmount::status);
        if (session.isJson()) {
            answers.forEach(answer -> session.print(answer.json()));
            return;
        }
        Columns columns =
                new Columns("INSTANCE", "ZONE", "STATE", "REVISION", "QUEUED", "RUNNING", "POLICY");
        for (Session.Answer answer : answers) {
            JsonNode json = answer.json();
            columns.add(
                    json.path("instance").asText(),
                    json.path("zone").asText(),
                    json.path("readiness").asText(),
                    json.path("tableRevision").asLong(),
                    json.path("requestsQueued").asInt(),
                    json.path("requestsInProgress").asInt(),
                    json.path("policy").asText());
        }
        session.out().print(columns);
    }
}
