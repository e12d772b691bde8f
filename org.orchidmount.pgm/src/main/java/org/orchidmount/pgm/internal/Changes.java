/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.orchidmount.api.ChangeCommand;
import org.orchidmount.api.CommandResult;
import org.orchidmount.api.OperatorCommand;
import org.orchidmount.api.Orchidmount;
import org.orchidmount.internal.json.Json;
import org.orchidmount.table.RowKey;
import org.orchidmount.table.RowKind;
import org.orchidmount.table.UpstreamMode;
import org.orchidmount.table.UpstreamRow;
import org.orchidmount.table.VersionedRow;

/** Sends changes and reads single rows. Stateless and thread-safe. */
public final class Changes {
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Bytes of a change id: 48 bits, so that two of a site do not meet. */
    private static final int RANDOM_BYTES = 6;

    private Changes() {}

    /**
     * Makes an id for a change.
     *
     * @return an id that no other change has
     */
    public static String newId() {
        byte[] bytes = new byte[RANDOM_BYTES];
        RANDOM.nextBytes(bytes);
        return "cli-" + Instant.now().toEpochMilli() + "-" + HexFormat.of().formatHex(bytes);
    }

    /**
     * Makes a change at every instance and prints the answers.
     *
     * @param session the session
     * @param id the change's id, or null for a new one
     * @param fill adds the edits
     */
    public static void send(Session session, String id, Function<Sending, ChangeCommand> fill) {
        String changeId = id == null ? newId() : id;
        Function<Orchidmount, OperatorCommand<JsonNode>> command =
                instance -> fill.apply(new Sending(instance, instance.change().setId(changeId)));
        List<Session.Answer> answers = session.each(command);
        for (Session.Answer answer : answers) {
            ObjectNode json = Json.object().put("instance", answer.url());
            json.setAll((ObjectNode) answer.json());
            if (session.isJson()) {
                session.print(json);
            } else {
                session.out()
                        .printf(
                                "%s: change %s accepted as revision %d%n",
                                answer.url(), changeId, json.path("revision").asLong());
            }
        }
    }

    /**
     * Finds a row at an instance.
     *
     * @param instance the instance
     * @param key the row
     * @return the row, if it exists
     */
    public static Optional<VersionedRow> find(Orchidmount instance, RowKey key) {
        return switch (instance.table().setKind(key.kind()).call()) {
            case CommandResult.Done<List<VersionedRow>>(var rows) ->
                    rows.stream().filter(row -> row.row().key().equals(key)).findFirst();
            case CommandResult.Refused<List<VersionedRow>> refused ->
                    throw new CliException(
                            ExitCode.ofStatus(refused.status()),
                            instance.url() + ": " + refused.message());
            case CommandResult.Failed<List<VersionedRow>>(var failure) ->
                    throw new CliException(ExitCode.UNREACHABLE, failure.describe());
        };
    }

    /**
     * Finds a row that must be there.
     *
     * @param instance the instance
     * @param key the row
     * @return the row
     * @throws CliException if it does not exist
     */
    public static VersionedRow require(Orchidmount instance, RowKey key) {
        return find(instance, key)
                .orElseThrow(
                        () ->
                                new CliException(
                                        ExitCode.INVALID,
                                        CliText.NO_ROW.formatted(key, instance.url())));
    }

    /**
     * Sets the mode of an upstream at every instance.
     *
     * @param session the session
     * @param upstream the upstream's name
     * @param mode the mode
     * @param comment why, for the audit trail
     */
    public static void setMode(
            Session session, String upstream, UpstreamMode mode, String comment) {
        RowKey key = new RowKey(RowKind.UPSTREAM, upstream);
        send(
                session,
                null,
                sending -> {
                    VersionedRow row = require(sending.instance(), key);
                    UpstreamRow changed = ((UpstreamRow) row.row()).withMode(mode);
                    return sending.command().setComment(comment).put(changed, row.version());
                });
    }

    /**
     * A change that is being filled for one instance.
     *
     * @param instance the instance
     * @param command the change
     */
    public record Sending(Orchidmount instance, ChangeCommand command) {}
}
