/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.internal.json.Json;

/** Tests {@link Table} and {@link RowCodec}. */
class TableTest {
    private static final PoolRow PREFILL = new PoolRow("p", PoolRole.PREFILL, 0);
    private static final PoolRow DECODE = new PoolRow("d", PoolRole.DECODE, 0);
    private static final ModelRow MODEL = new ModelRow("m", "p", "d", 100, 50, 10, 100, 100, 0);

    private static Table table(Edit... edits) {
        return apply(Table.empty(), "first", edits).table();
    }

    private static Table.Applied apply(Table table, String id, Edit... edits) {
        return table.apply(new Change(id, "author-of-" + id, "", List.of(edits)));
    }

    @Test
    void appliesAllEditsOrNone() {
        Table.Applied applied =
                apply(
                        table(new Edit.Put(PREFILL, 0)),
                        "second",
                        new Edit.Put(DECODE, 0),
                        new Edit.Put(PREFILL, 7));
        assertThat(applied.table().row(PoolRow.class, "d")).isEmpty();
        ChangeResult.Conflict conflict = (ChangeResult.Conflict) applied.result();
        assertThat(conflict.row()).isEqualTo(PREFILL.key());
        assertThat(conflict.actualVersion()).isEqualTo(1);
        assertThat(conflict.winnerChangeId()).isEqualTo("first");
        assertThat(conflict.winnerAuthor()).isEqualTo("author-of-first");
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true", "2, false", "-1, true"})
    void checksExpectedVersion(long expected, boolean accepted) {
        Table table = table(new Edit.Put(PREFILL, 0));
        Table.Applied applied = apply(table, "second", new Edit.Put(PREFILL, expected));
        assertThat(applied.result() instanceof ChangeResult.Accepted).isEqualTo(accepted);
        assertThat(applied.table().revision()).isEqualTo(accepted ? 2 : 1);
    }

    @Test
    void rowPutAgainDoesNotRepeatAVersion() {
        Table table = table(new Edit.Put(PREFILL, 0));
        table = apply(table, "delete", new Edit.Delete(PREFILL.key(), 1)).table();
        assertThat(table.versioned(PREFILL.key())).isEmpty();
        table = apply(table, "again", new Edit.Put(PREFILL, 0)).table();
        assertThat(table.versioned(PREFILL.key()).orElseThrow().version()).isEqualTo(3);
    }

    @Test
    void refusesRowsThatNameMissingOnes() {
        Table.Applied applied = apply(table(new Edit.Put(PREFILL, 0)), "x", new Edit.Put(MODEL, 0));
        ChangeResult.Invalid invalid = (ChangeResult.Invalid) applied.result();
        assertThat(invalid.problems())
                .containsExactly(
                        "model m: decodePool names 'd', which does not exist; add the pool first");
    }

    @Test
    void refusesToDeleteWhatIsNamed() {
        Table table =
                table(new Edit.Put(PREFILL, 0), new Edit.Put(DECODE, 0), new Edit.Put(MODEL, 0));
        assertThat(apply(table, "x", new Edit.Delete(DECODE.key(), -1)).result())
                .isInstanceOf(ChangeResult.Invalid.class);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"name\":\"p\",\"role\":\"PREFILL\",\"size\":1}|unknown field 'size'",
                "{\"name\":\"p\",\"role\":\"FAST\"}|role has the wrong type or value 'FAST'",
                "{\"name\":\"p\"}|role is missing; give prefill, decode or plain",
                "{\"role\":\"PLAIN\"}|name is missing; give a name",
                "{\"name\":\"a b\",\"role\":\"PLAIN\"}|is no name",
                "{\"name\":\"p\",\"role\":\"PLAIN\",\"maxRunning\":-1}|give a value from 0",
                "{\"name\":\"p\",\"role\":\"PLAIN\",\"maxRunning\":\"few\"}|maxRunning has the"
                        + " wrong",
                "{\"name\":\"p\",\"role\":\"PLAIN\",\"maxRunning\":1.5}|maxRunning has the wrong"
            })
    void namesFieldAndRemedyOfABadRow(String json, String message) throws IOException {
        JsonNode node = Json.parse(json.getBytes(StandardCharsets.UTF_8));
        IllegalArgumentException thrown =
                Assertions.assertThrows(
                        IllegalArgumentException.class, () -> RowCodec.row(RowKind.POOL, node));
        assertThat(thrown).hasMessageThat().contains(message);
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /files/a, files",
        "GET, /files, files",
        "GET, /filesx, all",
        "POST, /files/a, all",
        "GET, /files/deep/x, deep",
        "GET, /x, all"
    })
    void longestRouteWins(String method, String path, String expected) {
        PoolRow pool = new PoolRow("s", PoolRole.PLAIN, 0);
        Table table =
                table(
                        new Edit.Put(pool, 0),
                        new Edit.Put(route("all", "/", List.of()), 0),
                        new Edit.Put(route("files", "/files", List.of("GET")), 0),
                        new Edit.Put(route("deep", "/files/deep", List.of("GET")), 0));
        assertThat(table.route(method, path).orElseThrow().name()).isEqualTo(expected);
    }

    private static RouteRow route(String name, String prefix, List<String> methods) {
        return new RouteRow(name, prefix, methods, "s", true, 1000, 1000);
    }

    @Test
    void changeRoundTripsThroughJson() {
        Change change =
                new Change(
                        "c",
                        "a",
                        "why",
                        List.of(new Edit.Put(MODEL, 3), new Edit.Delete(PREFILL.key(), -1)));
        assertThat(RowCodec.change(RowCodec.json(change), "a")).isEqualTo(change);
    }
}
