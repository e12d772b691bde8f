/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.keys.KeyHash;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.settings.Settings;
import org.orchidmount.settings.SettingsReader;
import org.orchidmount.settings.SettingsResult;

/** An entry in this process, before upstreams that a test has started. */
public final class TableEntry implements AutoCloseable {
    private static final String KEY = "key";

    private final Daemon mDaemon;

    /**
     * Starts an entry.
     *
     * @param folder takes its files
     * @param upstreams ports by name; the name begins with the pool (prefill, decode, plain)
     * @param retryPercent the retries earned by 100 requests
     */
    public TableEntry(Path folder, Map<String, Integer> upstreams, int retryPercent)
            throws IOException {
        Files.writeString(folder.resolve("resume.key"), "k".repeat(40));
        Files.writeString(folder.resolve("operators.json"), "[]");
        Files.writeString(folder.resolve("table.json"), Json.text(table(upstreams)));
        Path file = folder.resolve("settings.json");
        Files.writeString(file, Json.text(settings(retryPercent)));
        mDaemon = Daemon.start(read(file));
    }

    private static Settings read(Path file) {
        return switch (SettingsReader.read(file)) {
            case SettingsResult.Valid valid -> valid.settings();
            case SettingsResult.Invalid invalid -> throw new AssertionError(invalid.problems());
        };
    }

    private static ObjectNode settings(int retryPercent) {
        ObjectNode json = Json.object();
        json.put("instance", "e-1").put("region", "sul").put("zone", "blumenau");
        json.put("firstTableFile", "table.json");
        json.putObject("callers").put("host", "127.0.0.1").put("port", 0);
        json.putObject("operators")
                .put("host", "127.0.0.1")
                .put("port", 0)
                .put("tokensFile", "operators.json");
        json.putObject("resume").put("keyFile", "resume.key");
        json.putObject("upstreams").put("retryPercent", retryPercent);
        return json;
    }

    private static ObjectNode table(Map<String, Integer> upstreams) {
        ObjectNode json = Json.object().put("id", "first").put("comment", "first");
        ArrayNode edits = json.putArray("edits");
        row(edits, "pool").put("name", "prefill").put("role", "PREFILL");
        row(edits, "pool").put("name", "decode").put("role", "DECODE");
        row(edits, "pool").put("name", "plain").put("role", "PLAIN");
        row(edits, "class")
                .put("name", "c")
                .put("weight", 1)
                .put("priority", 0)
                .put("maxWaitMillis", 60_000);
        row(edits, "model")
                .put("name", Cluster.MODEL)
                .put("prefillPool", "prefill")
                .put("decodePool", "decode")
                .put("firstTokenTargetMillis", 60_000)
                .put("tokenGapTargetMillis", 60_000)
                .put("kvBytesPerToken", 1_000)
                .put("maxPromptTokens", 1_000)
                .put("maxOutputTokens", 1_000);
        row(edits, "account")
                .put("name", "a")
                .put("keySha256", KeyHash.of(KEY))
                .put("requestClass", "c")
                .put("weight", 1);
        row(edits, "route")
                .put("name", "r")
                .put("pathPrefix", "/lookup")
                .put("pool", "plain")
                .put("repeatable", true)
                .put("timeoutMillis", 30_000)
                .put("maxBodyBytes", 1_000_000);
        upstreams.forEach((name, port) -> upstream(edits, name, port));
        return json;
    }

    private static void upstream(ArrayNode edits, String name, int port) {
        row(edits, "upstream")
                .put("name", name)
                .put("pool", name.substring(0, name.indexOf('-')))
                .put("host", "127.0.0.1")
                .put("port", port)
                .put("zone", "blumenau")
                .put("mode", "ACTIVE")
                .put("weight", 1)
                .put("kvBytes", 64_000_000)
                .put("prefillTokensPerSecond", 40_000)
                .put("linkBytesPerSecond", 400_000_000);
    }

    private static ObjectNode row(ArrayNode edits, String kind) {
        return edits.addObject().put("kind", kind).put("version", 0).putObject("row");
    }

    /** Returns a client of the listener for callers. */
    public Caller caller() {
        return new Caller("http://127.0.0.1:" + mDaemon.callerPort(), KEY);
    }

    @Override
    public void close() {
        mDaemon.close();
    }
}
