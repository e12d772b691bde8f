/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.api.ChangeCommand;
import org.orchidmount.internal.json.Json;
import org.orchidmount.pgm.internal.Changes;
import org.orchidmount.pgm.internal.CliException;
import org.orchidmount.pgm.internal.CliText;
import org.orchidmount.pgm.internal.Columns;
import org.orchidmount.pgm.internal.ExitCode;
import org.orchidmount.pgm.internal.RowFiles;
import org.orchidmount.pgm.internal.Session;
import org.orchidmount.table.Edit;
import org.orchidmount.table.RowCodec;
import org.orchidmount.table.RowKey;
import org.orchidmount.table.RowKind;
import org.orchidmount.table.VersionedRow;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/** {@code orchidmount table}: the operators' table. */
@Command(
        name = "table",
        description = "Looks at and changes the table.",
        mixinStandardHelpOptions = true,
        subcommands = {
            TablePgm.Get.class,
            TablePgm.SetRow.class,
            TablePgm.Delete.class,
            TablePgm.Export.class,
            TablePgm.Import.class
        })
final class TablePgm {
    @ParentCommand private Main mMain;

    private static List<VersionedRow> rows(Session session, RowKind kind) {
        return session.first(instance -> instance.table().setKind(kind));
    }

    private static RowKind kind(String label) {
        try {
            return label == null ? null : RowKind.ofLabel(label);
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage());
        }
    }

    /** {@code table get}. */
    @Command(name = "get", description = "Shows rows.", mixinStandardHelpOptions = true)
    static final class Get implements Runnable {
        @ParentCommand private TablePgm mTable;

        @Parameters(index = "0", arity = "0..1", description = "The kind of row.")
        private String mKind;

        @Parameters(index = "1", arity = "0..1", description = "The row's name.")
        private String mName;

        @Override
        public void run() {
            Session session = mTable.mMain.session();
            Columns columns = new Columns("KIND", "NAME", "VERSION", "AUTHOR", "FIELDS");
            for (VersionedRow row : rows(session, kind(mKind))) {
                if (mName != null && !row.row().name().equals(mName)) {
                    continue;
                }
                ObjectNode fields = RowCodec.json(row.row());
                String label = row.row().rowKind().label();
                if (session.isJson()) {
                    ObjectNode json = Json.object().put("kind", label);
                    json.put("version", row.version());
                    json.set("row", fields);
                    session.print(json);
                }
                fields.remove("name");
                columns.add(label, row.row().name(), row.version(), row.author(), text(fields));
            }
            if (!session.isJson()) {
                session.out().print(columns);
            }
        }

        private static String text(ObjectNode fields) {
            List<String> parts = new ArrayList<>();
            for (Map.Entry<String, JsonNode> field : fields.properties()) {
                parts.add(field.getKey() + "=" + field.getValue().asText(field.getValue() + ""));
            }
            return String.join(" ", parts);
        }
    }

    /** {@code table set}. */
    @Command(
            name = "set",
            description = "Changes fields of a row, or makes the row.",
            mixinStandardHelpOptions = true)
    static final class SetRow implements Runnable {
        @ParentCommand private TablePgm mTable;

        @Option(names = "--change-id", description = "The change's id, to send it again safely.")
        private String mChangeId;

        @Option(names = "--comment", defaultValue = "", description = "Why, for the audit trail.")
        private String mComment;

        @Parameters(index = "0", paramLabel = "KIND", description = "The kind of row.")
        private String mKind;

        @Parameters(index = "1", paramLabel = "NAME", description = "The row's name.")
        private String mName;

        @Parameters(
                index = "2..*",
                arity = "1..*",
                paramLabel = "FIELD=VALUE",
                description = "The new values.")
        private String[] mAssignments;

        @Override
        public void run() {
            RowKey key = new RowKey(kind(mKind), mName);
            Changes.send(mTable.mMain.session(), mChangeId, sending -> fill(sending, key));
        }

        private ChangeCommand fill(Changes.Sending sending, RowKey key) {
            Optional<VersionedRow> present = Changes.find(sending.instance(), key);
            ObjectNode fields =
                    present.map(row -> RowCodec.json(row.row()))
                            .orElseGet(() -> Json.object().put("name", mName));
            for (String assignment : mAssignments) {
                int equals = assignment.indexOf('=');
                if (equals < 1) {
                    throw new CliException(
                            ExitCode.USAGE, CliText.BAD_ASSIGNMENT.formatted(assignment));
                }
                String value = assignment.substring(equals + 1);
                fields.set(assignment.substring(0, equals), RowFiles.value(value));
            }
            try {
                return sending.command()
                        .setComment(mComment)
                        .put(
                                RowCodec.row(key.kind(), fields),
                                present.map(VersionedRow::version).orElse(0L));
            } catch (IllegalArgumentException e) {
                throw new CliException(ExitCode.INVALID, e.getMessage());
            }
        }
    }

    /** {@code table delete}. */
    @Command(name = "delete", description = "Deletes a row.", mixinStandardHelpOptions = true)
    static final class Delete implements Runnable {
        @ParentCommand private TablePgm mTable;

        @Option(names = "--comment", defaultValue = "", description = "Why, for the audit trail.")
        private String mComment;

        @Parameters(index = "0", paramLabel = "KIND", description = "The kind of row.")
        private String mKind;

        @Parameters(index = "1", paramLabel = "NAME", description = "The row's name.")
        private String mName;

        @Override
        public void run() {
            RowKey key = new RowKey(kind(mKind), mName);
            Changes.send(
                    mTable.mMain.session(),
                    null,
                    sending -> {
                        VersionedRow row = Changes.require(sending.instance(), key);
                        return sending.command().setComment(mComment).delete(key, row.version());
                    });
        }
    }

    /** {@code table export}. */
    @Command(
            name = "export",
            description = "Writes rows to a .csv or .json file.",
            mixinStandardHelpOptions = true)
    static final class Export implements Runnable {
        @ParentCommand private TablePgm mTable;

        @Parameters(index = "0", paramLabel = "FILE", description = "The file to write.")
        private Path mFile;

        @Parameters(index = "1", arity = "0..1", description = "The kind of row; CSV needs it.")
        private String mKind;

        @Override
        public void run() {
            boolean csv = mFile.toString().endsWith(".csv");
            if (!csv && !mFile.toString().endsWith(".json")) {
                throw new CliException(ExitCode.USAGE, CliText.BAD_FILE_TYPE.formatted(mFile));
            }
            if (csv && mKind == null) {
                throw new CliException(ExitCode.USAGE, CliText.CSV_NEEDS_KIND);
            }
            Session session = mTable.mMain.session();
            List<VersionedRow> rows = rows(session, kind(mKind));
            try {
                Files.writeString(mFile, csv ? RowFiles.csv(rows) : RowFiles.json(rows));
            } catch (IOException e) {
                throw new CliException(ExitCode.FAILED, "cannot write " + mFile + ": " + e);
            }
            session.out().println(rows.size() + " rows written to " + mFile);
        }
    }

    /** {@code table import}. */
    @Command(
            name = "import",
            description = "Writes the rows of a file into the table, all or none.",
            mixinStandardHelpOptions = true)
    static final class Import implements Runnable {
        @ParentCommand private TablePgm mTable;

        @Option(names = "--change-id", description = "The change's id, to send it again safely.")
        private String mChangeId;

        @Option(names = "--comment", defaultValue = "", description = "Why, for the audit trail.")
        private String mComment;

        @Parameters(index = "0", paramLabel = "FILE", description = "A .csv or .json file.")
        private Path mFile;

        @Override
        public void run() {
            List<Edit.Put> puts = RowFiles.read(mFile);
            Changes.send(
                    mTable.mMain.session(),
                    mChangeId,
                    sending -> {
                        ChangeCommand command = sending.command().setComment(mComment);
                        puts.forEach(put -> command.put(put.row(), put.expectedVersion()));
                        return command;
                    });
        }
    }
}
