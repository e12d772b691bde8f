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

/** {@code orchidmount requests}. */
@Command(
        name = "requests",
        description = "Shows the requests in progress, oldest first.",
        mixinStandardHelpOptions = true)
final class RequestsPgm implements Runnable {
    @ParentCommand private Main mMain;

    @Override
    public void run() {
        Session session = mMain.session();
        Columns columns =
                new Columns(
                        "REQUEST",
                        "ACCOUNT",
                        "CLASS",
                        "TARGET",
                        "PHASE",
                        "PREFILL",
                        "UPSTREAM",
                        "AGE MS");
        for (Session.Answer answer : session.each(Orchidmount::requests)) {
            for (JsonNode json : answer.json()) {
                if (session.isJson()) {
                    session.print(json);
                }
                columns.add(
                        json.path("id").asText(),
                        json.path("account").asText(),
                        json.path("requestClass").asText(),
                        json.path("target").asText(),
                        json.path("phase").asText(),
                        json.path("prefill").asText(),
                        json.path("decode").asText(),
                        json.path("ageMillis").asLong());
            }
        }
        if (!session.isJson()) {
            session.out().print(columns);
        }
    }
}
