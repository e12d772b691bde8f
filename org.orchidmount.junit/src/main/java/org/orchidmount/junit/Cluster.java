/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.keys.KeyHash;

/**
 * Real daemons before stand-ins, each a process of its own on free loopback ports.
 *
 * <p>All entries begin with the same table. Closing ends every process. Thread-safe after start.
 */
public final class Cluster implements AutoCloseable {
    /** The key of the account "mill". */
    public static final String MILL_KEY = "mill-key";

    /** The key of the account "ferry". */
    public static final String FERRY_KEY = "ferry-key";

    /** The token of the operator "ops". */
    public static final String OPERATOR_TOKEN = "ops-token";

    /** The model served. */
    public static final String MODEL = "loom";

    private static final String DAEMON = "org.orchidmount.daemon.Main";
    private static final String LOOPBACK = "127.0.0.1";
    private static final String RESUME_KEY = "a-resume-key-of-at-least-32-bytes-for-tests";

    private final Path mFolder;
    private final ClusterPlan mPlan;
    private final Map<String, Startup> mStartups = new LinkedHashMap<>();
    private final Map<String, ChildProcess> mUpstreams = new LinkedHashMap<>();
    private final Map<String, FaultProxy> mProxies = new LinkedHashMap<>();
    private final Map<String, EngineConfig> mEngines = new LinkedHashMap<>();
    private final List<ChildProcess> mEntries = new ArrayList<>();

    private Cluster(Path folder, ClusterPlan plan) {
        mFolder = folder;
        mPlan = plan;
    }

    /**
     * Starts a cluster and waits until every process is ready.
     *
     * @param folder takes settings, logs and data
     * @param plan what it consists of
     * @return the running cluster
     * @throws IOException if a process does not start
     */
    public static Cluster start(Path folder, ClusterPlan plan) throws IOException {
        Cluster cluster = new Cluster(folder, plan);
        try {
            cluster.startAll();
            return cluster;
        } catch (IOException | RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    private void startAll() throws IOException {
        Files.createDirectories(mFolder);
        List<Startup> upstreams = new ArrayList<>();
        for (int i = 1; i <= mPlan.prefill(); i++) {
            upstreams.add(engine("prefill-" + i, i));
        }
        for (int i = 1; i <= mPlan.decode(); i++) {
            upstreams.add(engine("decode-" + i, 100 + i));
        }
        for (int i = 1; i <= mPlan.plain(); i++) {
            upstreams.add(plain("plain-" + i, 200 + i));
        }
        List<ChildProcess> started = startTogether(upstreams);
        for (int i = 0; i < upstreams.size(); i++) {
            mStartups.put(upstreams.get(i).name(), upstreams.get(i));
            adopt(upstreams.get(i).name(), started.get(i));
        }
        writeSecret("resume.key", RESUME_KEY);
        writeSecret("operators.json", operators());
        Files.writeString(mFolder.resolve("table.json"), Json.text(table()));
        List<Startup> entries = new ArrayList<>();
        for (int i = 1; i <= mPlan.entries(); i++) {
            entries.add(entryStartup(i));
        }
        mEntries.addAll(startTogether(entries));
    }

    private Startup engine(String name, long seed) throws IOException {
        EngineConfig config = mPlan.engines().apply(EngineConfig.small(name));
        Path file = mFolder.resolve(name + ".json");
        Files.writeString(file, Json.text(config));
        mEngines.put(name, config);
        return new Startup(
                name,
                StandIns.class.getName(),
                List.of("engine", "--config", file.toString(), "--seed", String.valueOf(seed)));
    }

    private static Startup plain(String name, long seed) {
        return new Startup(
                name,
                StandIns.class.getName(),
                List.of("plain", "--name", name, "--seed", String.valueOf(seed)));
    }

    private void adopt(String name, ChildProcess process) throws IOException {
        mUpstreams.put(name, process);
        if (mPlan.proxied()) {
            mProxies.put(name, new FaultProxy(LOOPBACK, process.port("port"), name.hashCode()));
        }
    }

    private Startup entryStartup(int number) throws IOException {
        String name = "entry-" + number;
        Path file = mFolder.resolve(name + ".json");
        Files.writeString(file, Json.text(settings(number)));
        return new Startup(name, DAEMON, List.of(file.toString()));
    }

    /** Starts processes side by side; if one fails, ends the others. */
    private List<ChildProcess> startTogether(List<Startup> startups) throws IOException {
        List<Future<ChildProcess>> futures = new ArrayList<>();
        List<ChildProcess> processes = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Startup startup : startups) {
                futures.add(threads.submit(() -> startup.start(mFolder)));
            }
            for (Future<ChildProcess> future : futures) {
                processes.add(future.get());
            }
            return processes;
        } catch (ExecutionException e) {
            for (Future<ChildProcess> future : futures) {
                if (future.state() == Future.State.SUCCESS) {
                    future.resultNow().close();
                }
            }
            throw new IOException(e.getCause().getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Starts an entry again after it has ended; it listens on new ports.
     *
     * @param index the entry's index, from 0
     * @throws IOException if it does not start
     */
    public void restartEntry(int index) throws IOException {
        mEntries.get(index).close();
        mEntries.set(index, entryStartup(index + 1).start(mFolder));
    }

    /**
     * Starts an upstream again, on the port it had, with nothing left of its state.
     *
     * @param name the upstream's name
     * @throws IOException if it does not start
     */
    public void restartUpstream(String name) throws IOException {
        ChildProcess old = mUpstreams.get(name);
        old.close();
        List<String> arguments = new ArrayList<>(mStartups.get(name).arguments());
        arguments.add("--port");
        arguments.add(String.valueOf(old.port("port")));
        String mainClass = mStartups.get(name).mainClass();
        mUpstreams.put(name, new Startup(name, mainClass, arguments).start(mFolder));
    }

    private ObjectNode settings(int number) {
        ObjectNode json = Json.object();
        json.put("instance", "entry-" + number);
        json.put("region", "sul");
        json.put("zone", zone(number));
        json.put("policy", mPlan.policy());
        json.put("dataFolder", "data-" + number);
        json.put("firstTableFile", "table.json");
        json.putObject("callers").put("host", LOOPBACK).put("port", 0);
        json.putObject("operators")
                .put("host", LOOPBACK)
                .put("port", 0)
                .put("tokensFile", "operators.json");
        json.putObject("resume").put("keyFile", "resume.key");
        mPlan.settings()
                .forEach(
                        (section, entries) ->
                                entries.forEach(
                                        (key, value) ->
                                                json.withObjectProperty(section)
                                                        .putPOJO(key, value)));
        return json;
    }

    private static String zone(int number) {
        return List.of("blumenau", "joinville", "caxias").get((number - 1) % 3);
    }

    private void writeSecret(String name, String text) throws IOException {
        Path file = mFolder.resolve(name);
        Files.writeString(file, text);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    }

    private static String operators() {
        ArrayNode list = Json.MAPPER.createArrayNode();
        list.addObject()
                .put("name", "ops")
                .put("role", "OPERATE")
                .put("tokenSha256", KeyHash.of(OPERATOR_TOKEN));
        list.addObject()
                .put("name", "eyes")
                .put("role", "READ")
                .put("tokenSha256", KeyHash.of("eyes"));
        return Json.text(list);
    }

    private ObjectNode table() {
        ObjectNode json = Json.object();
        json.put("id", "first-table");
        json.put("comment", "the table every entry begins with");
        ArrayNode edits = json.putArray("edits");
        row(edits, "pool").put("name", "prefill").put("role", "PREFILL");
        row(edits, "pool").put("name", "decode").put("role", "DECODE");
        row(edits, "pool").put("name", "plain").put("role", "PLAIN");
        row(edits, "class")
                .put("name", "bundle")
                .put("weight", 4)
                .put("priority", 1)
                .put("maxWaitMillis", 20_000);
        row(edits, "class")
                .put("name", "chat")
                .put("weight", 8)
                .put("priority", 0)
                .put("maxWaitMillis", 20_000);
        row(edits, "model")
                .put("name", MODEL)
                .put("prefillPool", "prefill")
                .put("decodePool", "decode")
                .put("firstTokenTargetMillis", 2_000)
                .put("tokenGapTargetMillis", 100)
                .put("kvBytesPerToken", 1_000)
                .put("maxPromptTokens", 40_000)
                .put("maxOutputTokens", 20_000);
        account(edits, "mill", MILL_KEY, "bundle");
        account(edits, "ferry", FERRY_KEY, "chat");
        route(edits, "lookups", "/lookup", true);
        route(edits, "files", "/big", true);
        route(edits, "confirmations", "/confirm", false);
        for (String name : mUpstreams.keySet()) {
            upstream(edits, name);
        }
        return json;
    }

    private static void account(ArrayNode edits, String name, String key, String requestClass) {
        row(edits, "account")
                .put("name", name)
                .put("keySha256", KeyHash.of(key))
                .put("requestClass", requestClass)
                .put("weight", 1);
    }

    private static void route(ArrayNode edits, String name, String prefix, boolean repeatable) {
        row(edits, "route")
                .put("name", name)
                .put("pathPrefix", prefix)
                .put("pool", "plain")
                .put("repeatable", repeatable)
                .put("timeoutMillis", 10_000)
                .put("maxBodyBytes", 64 * 1024 * 1024);
    }

    private void upstream(ArrayNode edits, String name) {
        EngineConfig config = mEngines.get(name);
        String pool = name.substring(0, name.indexOf('-'));
        int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        row(edits, "upstream")
                .put("name", name)
                .put("pool", pool)
                .put("host", LOOPBACK)
                .put("port", upstreamPort(name))
                .put("zone", zone(number))
                .put("mode", "ACTIVE")
                .put("weight", 1)
                .put("kvBytes", config == null ? 0 : config.kvBytes())
                .put("prefillTokensPerSecond", config == null ? 0 : config.prefillTokensPerSecond())
                .put("linkBytesPerSecond", config == null ? 0 : config.linkBytesPerSecond());
    }

    private static ObjectNode row(ArrayNode edits, String kind) {
        return edits.addObject().put("kind", kind).put("version", 0).putObject("row");
    }

    private int upstreamPort(String name) {
        FaultProxy proxy = mProxies.get(name);
        return proxy != null ? proxy.port() : mUpstreams.get(name).port("port");
    }

    /**
     * Returns the process of an entry.
     *
     * @param index its index, from 0
     * @return the process
     */
    public ChildProcess entry(int index) {
        return mEntries.get(index);
    }

    /**
     * Returns the number of entries.
     *
     * @return the number
     */
    public int entries() {
        return mEntries.size();
    }

    /**
     * Returns a client of an entry's callers' listener.
     *
     * @param index the entry's index, from 0
     * @param key the account's key
     * @return the client
     */
    public Caller caller(int index, String key) {
        return new Caller(url(mEntries.get(index).port("callers")), key);
    }

    /**
     * Returns the address of an entry's operators' listener.
     *
     * @param index the entry's index, from 0
     * @return the address
     */
    public String operatorUrl(int index) {
        return url(mEntries.get(index).port("operators"));
    }

    /**
     * Returns the address of an entry's callers' listener.
     *
     * @param index the entry's index, from 0
     * @return the address
     */
    public String callerUrl(int index) {
        return url(mEntries.get(index).port("callers"));
    }

    /**
     * Returns the address of an upstream itself, past any proxy.
     *
     * @param name the upstream's name
     * @return the address
     */
    public String upstreamUrl(String name) {
        return url(mUpstreams.get(name).port("port"));
    }

    /**
     * Returns the process of an upstream.
     *
     * @param name the upstream's name
     * @return the process
     */
    public ChildProcess upstream(String name) {
        return mUpstreams.get(name);
    }

    /**
     * Returns the proxy before an upstream.
     *
     * @param name the upstream's name
     * @return the proxy
     */
    public FaultProxy proxy(String name) {
        return mProxies.get(name);
    }

    /**
     * Returns the names of the upstreams.
     *
     * @return the names of engines and plain services
     */
    public List<String> upstreamNames() {
        return List.copyOf(mUpstreams.keySet());
    }

    /**
     * Returns the names of the engines.
     *
     * @return the names
     */
    public List<String> engineNames() {
        return List.copyOf(mEngines.keySet());
    }

    /**
     * Reads the true state of an engine.
     *
     * @param name the engine's name
     * @return its state
     */
    public JsonNode engineState(String name) {
        return new Caller(upstreamUrl(name), "").getJson("/test/state");
    }

    /**
     * Adds the memory held on all engines that live.
     *
     * @return bytes
     */
    public long kvBytesHeld() {
        return sumOfEngines("kvBytesHeld");
    }

    /**
     * Lists what the living engines hold, for the message of a failed test.
     *
     * @return a line for each engine
     */
    public String describeEngines() {
        StringBuilder text = new StringBuilder();
        for (String name : mEngines.keySet()) {
            if (mUpstreams.get(name).awaitExit(0) < 0) {
                JsonNode running = new Caller(upstreamUrl(name), "").getJson("/v1/requests");
                text.append('\n').append(name).append(' ').append(engineState(name));
                text.append(' ').append(running);
            }
        }
        return text.toString();
    }

    /**
     * Waits until no engine holds memory for a request.
     *
     * @throws AssertionError if one still does after {@link Await#LONG}; it tells which
     */
    public void awaitMemoryFree() {
        Await.until(
                "engine memory is free",
                Await.LONG,
                () -> kvBytesHeld() == 0,
                this::describeEngines);
    }

    /**
     * Adds a figure of the state of all engines that live.
     *
     * @param field the field
     * @return the sum
     */
    public long sumOfEngines(String field) {
        long sum = 0;
        for (String name : mEngines.keySet()) {
            if (mUpstreams.get(name).awaitExit(0) < 0) {
                sum += engineState(name).path(field).asLong();
            }
        }
        return sum;
    }

    /**
     * Sets the faults of an engine.
     *
     * @param name the engine's name
     * @param faults the faults
     */
    public void setFaults(String name, EngineFaults faults) {
        new Caller(upstreamUrl(name), "").post("/test/faults", Json.text(faults), Map.of());
    }

    /**
     * Sets the faults of a plain service.
     *
     * @param name the service's name
     * @param faults the faults
     */
    public void setFaults(String name, PlainFaults faults) {
        new Caller(upstreamUrl(name), "").post("/test/faults", Json.text(faults), Map.of());
    }

    private static String url(int port) {
        return "http://" + LOOPBACK + ":" + port;
    }

    @Override
    public void close() {
        mEntries.forEach(ChildProcess::close);
        mProxies.values().forEach(FaultProxy::close);
        mUpstreams.values().forEach(ChildProcess::close);
    }

    /** A process that is about to start. */
    private record Startup(String name, String mainClass, List<String> arguments) {
        ChildProcess start(Path folder) throws IOException {
            return ChildProcess.start(name, folder, List.of("-Xmx256m"), mainClass, arguments);
        }
    }
}
