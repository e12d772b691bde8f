/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.orchidmount.pgm.internal.Columns;
import org.orchidmount.pgm.internal.Session;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/** {@code orchidmount audit}. */
@Command(
        name = "audit",
        description = "Shows who changed the table, when and how.",
        mixinStandardHelpOptions = true)
final class AuditPgm implements Runnable {
    @ParentCommand private Main mMain;

    @Option(
            names = "--after",
            defaultValue = "0",
            description = "Begin after this revision; default ${DEFAULT-VALUE}.")
    private long mAfterRevision;

    @Option(
            names = "--limit",
            defaultValue = "100",
            description = "The most changes shown; default ${DEFAULT-VALUE}.")
    private int mLimit;

    @Override
    public void run() {
        Session session = mMain.session();
        JsonNode list =
                session.first(
                        instance ->
                                instance.audit().setAfterRevision(mAfterRevision).setLimit(mLimit));
        if (session.isJson()) {
            list.forEach(session::print);
            return;
        }
        Columns columns = new Columns("REVISION", "TIME", "AUTHOR", "CHANGE", "ROWS", "COMMENT");
        for (JsonNode entry : list) {
            JsonNode change = entry.path("change");
            columns.add(
                    entry.path("revision").asLong(),
                    entry.path("time").asText(),
                    change.path("author").asText(),
                    change.path("id").asText(),
                    rows(change),
                    change.path("comment").asText());
        }
        session.out().print(columns);
    }

    private static String rows(JsonNode change) {
        List<String> rows = new ArrayList<>();
        for (JsonNode edit : change.path("edits")) {
            String name = edit.path("row").path("name").asText(edit.path("delete").asText());
            String sign = edit.has("delete") ? "-" : "";
            rows.add(sign + edit.path("kind").asText() + ":" + name);
        }
        return rows.size() > 3
                ? String.join(",", rows.subList(0, 3)) + ",+" + (rows.size() - 3)
                : String.join(",", rows);
    }
}
