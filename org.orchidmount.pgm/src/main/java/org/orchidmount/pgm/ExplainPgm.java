/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import org.orchidmount.pgm.internal.CliException;
import org.orchidmount.pgm.internal.ExitCode;
import org.orchidmount.pgm.internal.Explanation;
import org.orchidmount.pgm.internal.LogFiles;
import org.orchidmount.pgm.internal.UrgentRefusals;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code orchidmount explain}. */
@Command(
        name = "explain",
        description = {
            "Tells from the JSON logs of instances what became of requests, and why. No instance is"
                    + " asked.",
            "Without --id: requests and tokens by cause and by second, responses given up, and for"
                    + " whose sake requests were refused.",
            "With --by: outcomes, the share that each group gets, and how long it waits."
        },
        mixinStandardHelpOptions = true)
final class ExplainPgm implements Runnable {
    @Option(
            names = "--id",
            paramLabel = "ID",
            description = "The story of one request, by its X-Request-Id.")
    private String mId;

    @Option(
            names = "--by",
            paramLabel = "WHAT",
            split = ",",
            description = {
                "Requests by ${COMPLETION-CANDIDATES} in place of cause and second.",
                "Several are separated by commas."
            })
    private List<Explanation.Group> mGroups;

    @Parameters(paramLabel = "FILE", arity = "1..*", description = "The logs, in any order.")
    private List<Path> mFiles;

    @Spec private CommandSpec mSpec;

    @Override
    public void run() {
        PrintWriter out = mSpec.commandLine().getOut();
        PrintWriter errors = mSpec.commandLine().getErr();
        LogFiles files = new LogFiles(errors);
        List<LogFiles.Line> lines = files.read(mFiles);
        if (mId != null) {
            tell(lines, out);
        } else {
            sum(Explanation.of(lines, errors), out);
        }
        if (files.skipped() > 0) {
            errors.println(files.skipped() + " lines could not be read");
        }
    }

    private void sum(Explanation explanation, PrintWriter out) {
        if (mGroups != null) {
            out.print(explanation.by(mGroups));
            out.println();
            out.print(explanation.waits(mGroups));
            return;
        }
        out.print(explanation.causes());
        out.println();
        out.print(explanation.seconds());
        if (!explanation.aborted().isEmpty()) {
            out.println();
            out.print(explanation.aborted().table());
        }
        UrgentRefusals refusals = explanation.urgentRefusals();
        if (!refusals.isEmpty()) {
            out.println();
            out.print(refusals.table());
        }
    }

    private void tell(List<LogFiles.Line> lines, PrintWriter out) {
        List<LogFiles.Line> story =
                lines.stream()
                        .filter(line -> line.message().contains(mId))
                        .sorted(Comparator.comparing(LogFiles.Line::time))
                        .toList();
        if (story.isEmpty()) {
            throw new CliException(
                    ExitCode.FAILED,
                    "no line names " + mId + "; give the logs of all entries of that time");
        }
        story.forEach(
                line -> out.println(line.time() + " " + line.source() + " " + line.message()));
    }
}
