/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.upstream;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.errors.Attempt;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.settings.Settings;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.upstream.EngineClient;
import org.orchidmount.upstream.EngineReport;
import org.orchidmount.upstream.EngineRequest;
import org.orchidmount.upstream.PrefillResult;
import org.orchidmount.upstream.RunningRequest;
import org.orchidmount.upstream.TokenStream;

/**
 * Speaks the engine protocol over HTTP. Thread-safe.
 *
 * <p>Invariant: each call has an identity, and an answer with another one is refused as garbled.
 */
public final class HttpEngineClient implements EngineClient {
    private static final PartLog LOG = PartLog.of("engine");

    /** Far more than a report has. */
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    /** Characters of an engine's explanation that are kept. */
    private static final int MAX_DETAIL_LENGTH = 200;

    private static final int HEX = 16;

    private final HttpConnections mConnections;
    private final Settings.Upstreams mSettings;
    private final String mInstance;
    private final String mIncarnation;
    private final Meter mDropped;

    /** Gives each question that belongs to no request an identity of its own. */
    private final AtomicLong mQuestions = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param connections carries the calls
     * @param settings the time-outs
     * @param instance the name of this instance
     * @param incarnation this run of the instance
     * @param metrics counts dropped messages
     */
    public HttpEngineClient(
            HttpConnections connections,
            Settings.Upstreams settings,
            String instance,
            String incarnation,
            MetricRegistry metrics) {
        mConnections = connections;
        mSettings = settings;
        mInstance = instance;
        mIncarnation = incarnation;
        mDropped = metrics.meter("engine.messages.dropped");
    }

    @Override
    public Attempt<PrefillResult> prefill(EngineRequest request, CancelSignal cancel) {
        ObjectNode body = request.body().deepCopy();
        body.put("stream", false);
        body.put("max_tokens", 1);
        body.put("priority", request.priority());
        body.putObject(EngineProtocol.TRANSFER).put(EngineProtocol.REMOTE_DECODE, true);
        Duration timeout = mSettings.firstTokenTimeout();
        return attempt(
                () -> {
                    HttpHead head = head(request.path(), request.id());
                    JsonNode json =
                            exchange(
                                    request.engine(),
                                    Step.PREFILL,
                                    head,
                                    Json.bytes(body),
                                    timeout,
                                    cancel);
                    return prefillResult(request, json);
                });
    }

    private static PrefillResult prefillResult(EngineRequest request, JsonNode json)
            throws CallFailedException {
        boolean ours = request.id().equals(json.path("id").asText());
        if (!ours || !(json.get(EngineProtocol.TRANSFER) instanceof ObjectNode transfer)) {
            String detail = ours ? "no transfer in the answer" : "the answer has another id";
            throw new CallFailedException(
                    new Failure.Garbled(Step.PREFILL, request.engine().name(), detail));
        }
        JsonNode usage = json.path("usage");
        return new PrefillResult(
                transfer,
                usage.path("prompt_tokens").asInt(),
                usage.path("prompt_tokens_details").path("cached_tokens").asInt());
    }

    @Override
    public Attempt<TokenStream> decode(
            EngineRequest request, PrefillResult prefilled, CancelSignal cancel) {
        ObjectNode body = request.body().deepCopy();
        body.put("stream", true);
        body.put("priority", request.priority());
        ObjectNode transfer = prefilled.transfer().deepCopy();
        transfer.remove(EngineProtocol.REMOTE_DECODE);
        transfer.put(EngineProtocol.REMOTE_PREFILL, true);
        body.set(EngineProtocol.TRANSFER, transfer);
        HttpHead head = head(request.path(), request.id());
        return attempt(
                () ->
                        open(
                                request.engine(),
                                head,
                                Json.bytes(body),
                                mSettings.firstTokenTimeout(),
                                0,
                                cancel));
    }

    @Override
    public Attempt<TokenStream> resume(Peer engine, String id, int offset, CancelSignal cancel) {
        HttpHead head = head(EngineProtocol.REQUESTS + "/" + id + "/resume", id);
        byte[] body = Json.bytes(Json.object().put("offset", offset));
        // An engine that pauses may do so here as long as between two tokens of the stream.
        return attempt(() -> open(engine, head, body, mSettings.tokenTimeout(), offset, cancel));
    }

    private TokenStream open(
            Peer engine,
            HttpHead head,
            byte[] body,
            Duration timeout,
            int offset,
            CancelSignal cancel)
            throws CallFailedException {
        String id = head.headers().getFirst(EngineProtocol.REQUEST_ID);
        HttpCall call = mConnections.call(engine, Step.DECODE, head, body, timeout, cancel);
        try {
            int status = call.awaitResponse(timeout).getResponseCode();
            if (status != StatusCodes.OK) {
                throw rejected(Step.DECODE, engine, status, call);
            }
            return new HttpTokenStream(
                    call, engine.name(), id, offset, mSettings.tokenTimeout(), mDropped);
        } catch (CallFailedException e) {
            call.close();
            throw e;
        }
    }

    @Override
    public Attempt<Boolean> cancel(Peer engine, String id) {
        HttpHead head = head(EngineProtocol.REQUESTS + "/" + id + "/cancel", id);
        return attempt(
                () -> {
                    JsonNode json =
                            exchange(
                                    engine,
                                    Step.CANCEL,
                                    head,
                                    new byte[0],
                                    mSettings.cancelTimeout(),
                                    new CancelSignal());
                    return json.path("cancelled").asBoolean();
                });
    }

    @Override
    public Attempt<EngineReport> report(Peer engine, long eventsAfter) {
        String path = EngineProtocol.REPORT + "?events_after=" + eventsAfter;
        return attempt(() -> reportOf(get(engine, path)));
    }

    private static EngineReport reportOf(JsonNode json) {
        List<EngineReport.CacheEvent> events = new ArrayList<>();
        for (JsonNode event : json.path("events")) {
            long hash = Long.parseUnsignedLong(event.path("hash").asText("0"), HEX);
            events.add(new EngineReport.CacheEvent(hash, event.path("stored").asBoolean()));
        }
        return new EngineReport(
                json.path("running").asInt(),
                json.path("waiting").asInt(),
                json.path("kv_bytes_used").asLong(),
                List.copyOf(events),
                json.path("next_event").asLong(),
                json.path("events_lost").asBoolean());
    }

    @Override
    public Attempt<List<RunningRequest>> running(Peer engine) {
        return attempt(
                () -> {
                    List<RunningRequest> running = new ArrayList<>();
                    for (JsonNode item : get(engine, EngineProtocol.REQUESTS).path("requests")) {
                        running.add(
                                new RunningRequest(
                                        item.path("id").asText(),
                                        item.path("instance").asText(),
                                        item.path("incarnation").asText(),
                                        item.path("attached").asBoolean()));
                    }
                    return List.copyOf(running);
                });
    }

    private JsonNode get(Peer engine, String path) throws CallFailedException {
        Duration timeout = mSettings.cancelTimeout();
        String id = mInstance + "-" + mIncarnation + "-" + mQuestions.incrementAndGet();
        HttpHead head = HttpHead.of(Methods.GET, path).with(EngineProtocol.REQUEST_ID, id);
        try (HttpCall call = mConnections.call(engine, Step.REPORT, head)) {
            return answer(engine, Step.REPORT, call, timeout);
        }
    }

    private JsonNode exchange(
            Peer engine,
            Step step,
            HttpHead head,
            byte[] body,
            Duration timeout,
            CancelSignal cancel)
            throws CallFailedException {
        try (HttpCall call = mConnections.call(engine, step, head, body, timeout, cancel)) {
            return answer(engine, step, call, timeout);
        }
    }

    private static JsonNode answer(Peer engine, Step step, HttpCall call, Duration timeout)
            throws CallFailedException {
        int status = call.awaitResponse(timeout).getResponseCode();
        if (status != StatusCodes.OK) {
            throw rejected(step, engine, status, call);
        }
        byte[] body = call.readAll(timeout, MAX_ANSWER_BYTES);
        try {
            return Json.parse(body);
        } catch (IOException e) {
            throw new CallFailedException(
                    new Failure.Garbled(step, engine.name(), "the answer is not JSON"));
        }
    }

    private static CallFailedException rejected(Step step, Peer engine, int status, HttpCall call) {
        String detail;
        try {
            byte[] body = call.readAll(Duration.ofSeconds(1), MAX_ANSWER_BYTES);
            String text = new String(body, StandardCharsets.UTF_8);
            detail = text.substring(0, Math.min(text.length(), MAX_DETAIL_LENGTH));
        } catch (CallFailedException e) {
            LOG.debug("no explanation of status %d: %s", status, e.failure().describe());
            detail = "the explanation could not be read";
        }
        return new CallFailedException(
                new Failure.Rejected(
                        step, engine.name(), status, "status " + status + ": " + detail));
    }

    private HttpHead head(String path, String id) {
        return HttpHead.of(Methods.POST, path)
                .with(Headers.CONTENT_TYPE, "application/json")
                .with(EngineProtocol.REQUEST_ID, id)
                .with(EngineProtocol.INSTANCE, mInstance)
                .with(EngineProtocol.INCARNATION, mIncarnation);
    }

    private static <T> Attempt<T> attempt(Call<T> call) {
        try {
            return new Attempt.Done<>(call.run());
        } catch (CallFailedException e) {
            return new Attempt.Failed<>(e.failure());
        }
    }

    @FunctionalInterface
    private interface Call<T> {
        T run() throws CallFailedException;
    }
}
