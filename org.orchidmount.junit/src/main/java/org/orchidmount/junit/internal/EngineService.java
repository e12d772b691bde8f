/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.junit.EngineConfig;
import org.orchidmount.junit.EngineFaults;
import org.orchidmount.junit.FakeModel;
import org.orchidmount.junit.TestConnections;
import org.orchidmount.junit.internal.EngineSequence.Turn;
import org.orchidmount.routing.PromptBlocks;

/** The engine protocol in front of {@link EngineCore}. Thread-safe. */
public final class EngineService implements AutoCloseable {
    private static final Duration TAKE_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    private static final int HEX = 16;

    /** Engines are on one machine, so a connection takes no time. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final EngineCore mCore;
    private final TestConnections mConnections;
    private volatile String mHost;
    private volatile int mPort;
    private volatile String mPreviousId = "none";
    private long mLastFence;

    /**
     * Creates an engine without a listener.
     *
     * @param config how it behaves
     * @param seed makes its faults repeatable
     */
    public EngineService(EngineConfig config, long seed) {
        mCore = new EngineCore(config, seed);
        mConnections = new TestConnections(CONNECT_TIMEOUT);
    }

    /**
     * Tells where other engines reach this one.
     *
     * @param host the IP address
     * @param port the TCP port
     */
    public void setAddress(String host, int port) {
        mHost = host;
        mPort = port;
    }

    /**
     * Notes that a request has arrived.
     *
     * @param id its id
     */
    public void received(String id) {
        mCore.received(String.valueOf(id));
    }

    /**
     * Lists the ids of all requests that ever arrived.
     *
     * @return the ids
     */
    public List<String> receivedIds() {
        return mCore.receivedIds();
    }

    /**
     * Draws whether a new request is rejected.
     *
     * @return true to reject
     */
    public boolean rejects() {
        return mCore.happens(mCore.faults().rejectPercent());
    }

    /**
     * Sets the faults.
     *
     * @param faults the faults
     */
    public void setFaults(EngineFaults faults) {
        mCore.setFaults(faults);
    }

    /**
     * Processes a prompt.
     *
     * @param call the request
     * @return the answer, or null if it was cancelled
     * @throws InterruptedException if the engine is closing
     */
    public ObjectNode prefill(Call call) throws InterruptedException {
        EngineCore.Export export =
                mCore.prefill(
                        call.id(),
                        call.instance(),
                        call.incarnation(),
                        call.prompt(),
                        call.body().path("priority").asInt());
        if (export == null) {
            return null;
        }
        ObjectNode json = Json.object().put("id", call.id());
        ObjectNode transfer = json.putObject(EngineProtocol.TRANSFER);
        transfer.put(EngineProtocol.REMOTE_DECODE, true);
        transfer.put("remote_engine_id", mCore.config().name());
        transfer.put("remote_host", mHost);
        transfer.put("remote_port", mPort);
        transfer.put("remote_handle", export.id());
        ObjectNode usage = json.putObject("usage");
        usage.put("prompt_tokens", export.promptTokens());
        usage.putObject("prompt_tokens_details").put("cached_tokens", export.cachedTokens());
        return json;
    }

    /**
     * Tells another engine the size of an exported cache, or frees it once it was imported.
     *
     * @param handle the cache's name
     * @param imported true once the other engine has it
     * @return its size, or null if it is not held
     */
    public ObjectNode export(String handle, boolean imported) {
        EngineCore.Export export = mCore.findExport(handle);
        boolean held = imported ? mCore.releaseExport(handle) : export != null;
        return held ? Json.object().put("kv_bytes", export.kvBytes()) : null;
    }

    /**
     * Takes a request in for decoding: waits for memory, imports the cache, begins to generate.
     *
     * @param call the request
     * @return the reader's number, or what is wrong
     * @throws InterruptedException if the engine is closing
     */
    public Opened open(Call call) throws InterruptedException {
        FakeModel.Plan plan =
                FakeModel.plan(call.prompt(), call.body().path("max_tokens").asInt(16));
        EngineSequence sequence =
                mCore.open(
                        call.id(),
                        plan,
                        call.chat(),
                        PromptBlocks.of(call.prompt()).tokens(),
                        call.body().path("priority").asInt());
        int reader = mCore.attach(sequence, call.instance(), call.incarnation(), 0);
        if (!mCore.admit(sequence)) {
            mCore.drop(call.id());
            return new Opened(-1, "the request was cancelled");
        }
        JsonNode transfer = call.body().path(EngineProtocol.TRANSFER);
        boolean imports = transfer.path(EngineProtocol.REMOTE_PREFILL).asBoolean();
        if (imports && !importCache(transfer, sequence)) {
            mCore.drop(call.id());
            return new Opened(-1, "the cache could not be imported");
        }
        mCore.run(sequence);
        return new Opened(reader, null);
    }

    private boolean importCache(JsonNode transfer, EngineSequence sequence)
            throws InterruptedException {
        long bytes = callExporter(transfer, false);
        return bytes >= 0 && mCore.transfer(bytes, sequence) && callExporter(transfer, true) >= 0;
    }

    /** Asks the prefill engine for the size of a cache, or tells it that the cache is here. */
    private long callExporter(JsonNode transfer, boolean imported) {
        Peer peer =
                new Peer(
                        transfer.path("remote_engine_id").asText(),
                        transfer.path("remote_host").asText(),
                        transfer.path("remote_port").asInt());
        ObjectNode question = Json.object();
        question.put("handle", transfer.path("remote_handle").asText());
        question.put("imported", imported);
        HttpHead head = HttpHead.of(Methods.POST, "/v1/exports");
        try (HttpCall call =
                mConnections
                        .get()
                        .call(peer, Step.PREFILL, head, Json.bytes(question), TAKE_TIMEOUT)) {
            int status = call.awaitResponse(TAKE_TIMEOUT).getResponseCode();
            byte[] answer = call.readAll(TAKE_TIMEOUT, MAX_ANSWER_BYTES);
            return status == StatusCodes.OK ? Json.parse(answer).path("kv_bytes").asLong() : -1;
        } catch (CallFailedException | IOException e) {
            return -1;
        }
    }

    /**
     * Gives a held request to a new reader.
     *
     * @param id the request
     * @param instance the instance that reads
     * @param incarnation its run
     * @param offset the first token wanted
     * @return the reader's number, or -1 if the request is not held
     */
    public int resume(String id, String instance, String incarnation, int offset) {
        EngineSequence sequence = mCore.find(id);
        return sequence == null ? -1 : mCore.attach(sequence, instance, incarnation, offset);
    }

    /**
     * Waits for the next message of a stream.
     *
     * @param id the request
     * @param reader the reader's number
     * @param offset the token wanted
     * @return the message
     * @throws InterruptedException if the engine is closing
     */
    public Message next(String id, int reader, int offset) throws InterruptedException {
        EngineSequence sequence = mCore.find(id);
        if (sequence == null) {
            return new Message(List.of(), true, true);
        }
        Turn turn = mCore.await(sequence, reader, offset);
        if (turn == Turn.DROPPED) {
            return new Message(List.of(), true, true);
        }
        if (turn == Turn.SUPERSEDED) {
            String event = event(Json.object().put("id", id).put("superseded", true));
            return new Message(List.of(event), true, false);
        }
        return token(sequence, offset);
    }

    private Message token(EngineSequence sequence, int offset) {
        FakeModel.Plan plan = sequence.plan();
        boolean last = offset >= plan.count() - 1;
        String text = offset < plan.count() ? plan.token(offset) : "";
        String finish = last ? (plan.natural() ? "stop" : "length") : null;
        ObjectNode json = chunk(sequence.id(), sequence.isChat(), offset, text, finish);
        EngineFaults faults = mCore.faults();
        List<String> events = new ArrayList<>();
        if (mCore.happens(faults.crossPercent())) {
            events.add(
                    event(chunk("another-request", sequence.isChat(), offset, " CROSSED", null)));
        }
        if (mCore.happens(faults.latePercent())) {
            events.add(event(chunk(mPreviousId, sequence.isChat(), offset, " LATE", null)));
        }
        if (last || !mCore.happens(faults.skipPercent())) {
            events.add(event(json));
        }
        if (mCore.happens(faults.duplicatePercent())) {
            events.add(event(json));
        }
        boolean cut = mCore.happens(last ? faults.endCutPercent() : faults.cutPercent());
        if (last && !cut) {
            events.add("data: " + EngineProtocol.DONE + "\n\n");
        }
        return new Message(events, last, cut);
    }

    private static ObjectNode chunk(
            String id, boolean chat, int offset, String text, String finish) {
        ObjectNode json = Json.object().put("id", id).put("offset", offset);
        json.put("object", chat ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finish);
        return json;
    }

    private static String event(ObjectNode json) {
        return "data: " + Json.text(json) + "\n\n";
    }

    /**
     * Ends a stream whose last message was taken by the socket.
     *
     * @param id the request
     * @param message the last message
     */
    public void finished(String id, Message message) {
        boolean whole = !message.events().isEmpty() && message.events().getLast().contains("DONE");
        if (whole) {
            mCore.drop(id);
            mPreviousId = id;
        }
    }

    /**
     * Notes that a reader has gone.
     *
     * @param id the request
     * @param reader the reader's number
     */
    public void detach(String id, int reader) {
        EngineSequence sequence = mCore.find(id);
        if (sequence != null) {
            mCore.detach(sequence, reader);
        }
    }

    /**
     * Drops a request.
     *
     * @param id the request
     * @return false if it is not held
     */
    public boolean drop(String id) {
        return mCore.drop(id);
    }

    /**
     * Takes an order.
     *
     * @param fence the giver's fencing token
     * @return false if it is older than one already seen and this engine checks orders
     */
    public synchronized boolean order(long fence) {
        if (mCore.config().checksOrders() && fence < mLastFence) {
            return false;
        }
        mLastFence = fence;
        return true;
    }

    /**
     * Lists the requests held.
     *
     * @return the list
     */
    public ObjectNode running() {
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("requests");
        for (EngineCore.Running running : mCore.running()) {
            list.add(Json.MAPPER.<JsonNode>valueToTree(running));
        }
        return json;
    }

    /**
     * Returns the lagging report.
     *
     * @param eventsAfter the number of the last cache event seen
     * @return the report
     */
    public ObjectNode report(long eventsAfter) {
        EngineCore.Seen seen = mCore.seen(eventsAfter);
        ObjectNode json = Json.object();
        json.put("running", seen.report().running());
        json.put("waiting", seen.report().waiting());
        json.put("kv_bytes_used", seen.report().kvBytesUsed());
        json.put("next_event", seen.nextEvent());
        json.put("events_lost", seen.lost());
        ArrayNode events = json.putArray("events");
        for (PrefixCache.Event event : seen.events()) {
            String hash = Long.toUnsignedString(event.hash(), HEX);
            events.addObject().put("hash", hash).put("stored", event.stored());
        }
        return json;
    }

    /**
     * Returns the true state.
     *
     * @return the state
     */
    public ObjectNode state() {
        return Json.MAPPER.valueToTree(mCore.state());
    }

    @Override
    public void close() {
        mCore.close();
        mConnections.close();
    }

    /**
     * A request as it arrived.
     *
     * @param id its id
     * @param instance the instance that sent it
     * @param incarnation its run
     * @param chat true for chat completions
     * @param body the body
     */
    public record Call(
            String id, String instance, String incarnation, boolean chat, ObjectNode body) {
        /** The text that is processed. */
        String prompt() {
            if (!chat) {
                return body.path("prompt").asText();
            }
            StringBuilder prompt = new StringBuilder();
            JsonNode messages = body.path("messages");
            boolean continues = body.path("continue_final_message").asBoolean();
            for (int i = 0; i < messages.size(); i++) {
                JsonNode message = messages.get(i);
                boolean own = continues && i == messages.size() - 1;
                if (own) {
                    prompt.append(message.path("content").asText());
                } else {
                    prompt.append(message.path("role").asText()).append(": ");
                    prompt.append(message.path("content").asText()).append('\n');
                }
            }
            return prompt.toString();
        }
    }

    /**
     * A request taken in for decoding.
     *
     * @param reader the reader's number, -1 if there is none
     * @param error what is wrong, or null
     */
    public record Opened(int reader, String error) {}

    /**
     * A message of a stream.
     *
     * @param events the events to be written
     * @param last true if none follows
     * @param cut true to close the connection
     */
    public record Message(List<String> events, boolean last, boolean cut) {}
}
