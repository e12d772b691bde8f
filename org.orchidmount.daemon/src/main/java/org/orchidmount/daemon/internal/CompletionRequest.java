/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.Locale;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.routing.PromptBlocks;
import org.orchidmount.table.ModelRow;
import org.orchidmount.table.Table;

/**
 * A checked completion request. Immutable; the body must not be changed.
 *
 * @param chat true for chat completions
 * @param identity who sends it
 * @param model the model
 * @param stream true if the caller wants server-sent events
 * @param maxTokens the longest answer
 * @param prompt the text that is processed
 * @param blocks the prompt's blocks
 * @param maxFirstTokenMillis the latest useful first token, 0 for no bound
 * @param body the caller's body
 */
record CompletionRequest(
        boolean chat,
        Identity identity,
        ModelRow model,
        boolean stream,
        int maxTokens,
        String prompt,
        PromptBlocks blocks,
        long maxFirstTokenMillis,
        ObjectNode body) {
    private static final String JSON = "application/json";

    /** Checks the head of a request, before its body is read. */
    static void checkHead(ServerExchange exchange) throws RefusedException {
        String type = exchange.header("Content-Type");
        if (type == null || !type.toLowerCase(Locale.ROOT).startsWith(JSON)) {
            throw bad(
                    StatusCodes.UNSUPPORTED_MEDIA_TYPE,
                    "unsupported_media_type",
                    Messages.WRONG_MEDIA_TYPE.formatted(type));
        }
    }

    /** Checks a request whole. */
    static CompletionRequest parse(
            ServerExchange exchange, byte[] bytes, Identity identity, Table table)
            throws RefusedException {
        ObjectNode body = parseBody(bytes);
        boolean chat = exchange.path().equals(EngineProtocol.CHAT_COMPLETIONS);
        ModelRow model = model(body, table);
        String prompt = chat ? chatPrompt(body) : prompt(body);
        PromptBlocks blocks = PromptBlocks.of(prompt);
        if (blocks.tokens() > model.maxPromptTokens()) {
            throw bad(
                    StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                    "prompt_too_long",
                    Messages.PROMPT_TOO_LONG.formatted(blocks.tokens(), model.maxPromptTokens()));
        }
        if (body.has("n") && body.path("n").asInt() != 1) {
            throw field("n", Messages.ONE_CHOICE.formatted(body.path("n").asInt()));
        }
        return new CompletionRequest(
                chat,
                identity,
                model,
                stream(body),
                maxTokens(body, model),
                prompt,
                blocks,
                maxFirstTokenMillis(exchange, identity),
                body);
    }

    private static ObjectNode parseBody(byte[] bytes) throws RefusedException {
        try {
            if (Json.parse(bytes) instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            throw bad(
                    StatusCodes.BAD_REQUEST,
                    "not_json",
                    Messages.NOT_JSON.formatted(e.getOriginalMessage()));
        } catch (IOException e) {
            throw bad(
                    StatusCodes.BAD_REQUEST, "not_json", Messages.NOT_JSON.formatted(e.toString()));
        }
        throw bad(StatusCodes.BAD_REQUEST, "not_json", Messages.NOT_OBJECT);
    }

    private static ModelRow model(ObjectNode body, Table table) throws RefusedException {
        if (!body.path("model").isTextual()) {
            throw field("model", Messages.MISSING_FIELD.formatted("model", "give a text"));
        }
        String name = body.path("model").asText();
        return table.row(ModelRow.class, name)
                .orElseThrow(
                        () ->
                                bad(
                                        StatusCodes.NOT_FOUND,
                                        "unknown_model",
                                        Messages.UNKNOWN_MODEL.formatted(name)));
    }

    private static String prompt(ObjectNode body) throws RefusedException {
        if (!body.path("prompt").isTextual() || body.path("prompt").asText().isEmpty()) {
            throw field("prompt", Messages.MISSING_FIELD.formatted("prompt", "give a text"));
        }
        return body.path("prompt").asText();
    }

    private static String chatPrompt(ObjectNode body) throws RefusedException {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            if (!message.path("content").isTextual() || !message.path("role").isTextual()) {
                prompt.setLength(0);
                break;
            }
            prompt.append(message.path("role").asText()).append(": ");
            prompt.append(message.path("content").asText()).append('\n');
        }
        if (prompt.isEmpty()) {
            String remedy = "give a list of messages, each with the texts role and content";
            throw field("messages", Messages.MISSING_FIELD.formatted("messages", remedy));
        }
        return prompt.toString();
    }

    private static boolean stream(ObjectNode body) throws RefusedException {
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw field("stream", Messages.MISSING_FIELD.formatted("stream", "give true or false"));
        }
        return stream.asBoolean(false);
    }

    private static int maxTokens(ObjectNode body, ModelRow model) throws RefusedException {
        JsonNode field = body.path("max_tokens");
        if (field.isMissingNode() || field.isNull()) {
            return model.maxOutputTokens();
        }
        if (!field.isInt() || field.asInt() < 1 || field.asInt() > model.maxOutputTokens()) {
            throw field(
                    "max_tokens",
                    Messages.OUTPUT_TOO_LONG.formatted(field.asInt(), model.maxOutputTokens()));
        }
        return field.asInt();
    }

    private static long maxFirstTokenMillis(ServerExchange exchange, Identity identity)
            throws RefusedException {
        long classMillis = identity.requestClass().maxFirstTokenMillis();
        String text = exchange.header(HeaderNames.DEADLINE_MILLIS);
        if (text == null) {
            return classMillis;
        }
        try {
            long millis = Long.parseLong(text);
            if (millis > 0) {
                return classMillis == 0 ? millis : Math.min(millis, classMillis);
            }
        } catch (NumberFormatException ignored) {
            // Answered below, together with numbers out of range.
        }
        throw field(
                HeaderNames.DEADLINE_MILLIS,
                Messages.BAD_HEADER.formatted(
                        HeaderNames.DEADLINE_MILLIS, text, "give a whole number of milliseconds"));
    }

    private static RefusedException field(String name, String message) {
        return bad(StatusCodes.BAD_REQUEST, "bad_" + name, message);
    }

    private static RefusedException bad(int status, String code, String message) {
        return new RefusedException(Refusal.bad(status, code, message));
    }
}
