/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.orchidmount.api.CommandResult;
import org.orchidmount.api.OperatorCommand;
import org.orchidmount.api.Orchidmount;
import org.orchidmount.internal.json.Json;

/**
 * What a subcommand works with: the instances named, and where its output goes. Used by one thread.
 */
public final class Session {
    private final List<String> mUrls;
    private final String mToken;
    private final boolean mJson;
    private final PrintWriter mOut;

    /**
     * Creates a session.
     *
     * @param operators addresses of operators' listeners, separated by commas
     * @param token the operator's token, or null
     * @param tokenFile the file with the token, or null
     * @param json true to print JSON
     * @param out takes the output
     * @throws CliException if the instances or the token are missing
     */
    public Session(String operators, String token, Path tokenFile, boolean json, PrintWriter out) {
        if (operators == null || operators.isBlank()) {
            throw new CliException(ExitCode.USAGE, CliText.NO_OPERATORS);
        }
        mUrls = List.of(operators.strip().split("\\s*,\\s*"));
        mToken = token(token, tokenFile);
        mJson = json;
        mOut = out;
    }

    private static String token(String token, Path tokenFile) {
        if (tokenFile != null) {
            try {
                return Files.readString(tokenFile).strip();
            } catch (IOException e) {
                throw new CliException(ExitCode.USAGE, "cannot read " + tokenFile + ": " + e);
            }
        }
        if (token == null || token.isBlank()) {
            throw new CliException(ExitCode.USAGE, CliText.NO_TOKEN);
        }
        return token.strip();
    }

    /**
     * Tells whether JSON is to be printed.
     *
     * @return true for JSON, false for text
     */
    public boolean isJson() {
        return mJson;
    }

    /**
     * Returns where output goes.
     *
     * @return the writer
     */
    public PrintWriter out() {
        return mOut;
    }

    /**
     * Makes a call at the first instance named.
     *
     * @param command makes the command
     * @param <T> what it yields
     * @return what it yields
     * @throws CliException if it yields nothing
     */
    public <T> T first(Function<Orchidmount, OperatorCommand<T>> command) {
        return call(mUrls.getFirst(), command);
    }

    /**
     * Makes a call at every instance named, one after the other; all are tried even if one fails.
     *
     * @param command makes the command for an instance
     * @return the answers of those that did as asked
     * @throws CliException with all failures, if there are any
     */
    public List<Answer> each(Function<Orchidmount, OperatorCommand<JsonNode>> command) {
        List<Answer> answers = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        ExitCode code = ExitCode.OK;
        for (String url : mUrls) {
            try {
                answers.add(new Answer(url, call(url, command)));
            } catch (CliException e) {
                failures.add(e.getMessage());
                code = e.code();
            }
        }
        if (!failures.isEmpty()) {
            for (Answer answer : answers) {
                failures.add(answer.url() + ": done");
            }
            throw new CliException(code, String.join("\n", failures));
        }
        return answers;
    }

    /**
     * Prints a tree as one line of JSON.
     *
     * @param json the tree
     */
    public void print(JsonNode json) {
        mOut.println(Json.text(json));
    }

    private <T> T call(String url, Function<Orchidmount, OperatorCommand<T>> command) {
        try (Orchidmount instance = Orchidmount.connect(url, mToken)) {
            return switch (command.apply(instance).call()) {
                case CommandResult.Done<T>(T value) -> value;
                case CommandResult.Refused<T> refused ->
                        throw new CliException(
                                ExitCode.ofStatus(refused.status()),
                                url + ": " + refused.code() + ": " + refused.message());
                case CommandResult.Failed<T>(var failure) ->
                        throw new CliException(ExitCode.UNREACHABLE, failure.describe());
            };
        } catch (IllegalArgumentException | IOException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage());
        }
    }

    /**
     * The answer of one instance.
     *
     * @param url its address
     * @param json the answer
     */
    public record Answer(String url, JsonNode json) {}
}
