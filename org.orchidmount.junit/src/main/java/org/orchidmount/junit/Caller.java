/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.IntConsumer;
import org.orchidmount.internal.json.Json;

/**
 * An ordinary HTTP client of the router: the one of the Java platform. Thread-safe.
 *
 * @param url the address
 * @param key the account's key, empty for none
 */
public record Caller(String url, String key) {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(10))
                    .build();
    private static final Duration TIMEOUT = Duration.ofSeconds(120);

    /**
     * Makes the body of a completion request.
     *
     * @param prompt the prompt
     * @param maxTokens the longest answer
     * @param stream true for server-sent events
     * @return the body
     */
    public static ObjectNode completion(String prompt, int maxTokens, boolean stream) {
        return Json.object()
                .put("model", Cluster.MODEL)
                .put("prompt", prompt)
                .put("max_tokens", maxTokens)
                .put("stream", stream);
    }

    /**
     * Asks for a completion and reads its answer to the end.
     *
     * @param body the body of the request
     * @return the answer
     * @throws IOException if the connection breaks
     */
    public Answer complete(ObjectNode body) throws IOException {
        return complete(body, Map.of(), offset -> {});
    }

    /**
     * Asks for a completion and reads its answer to the end.
     *
     * @param body the body of the request
     * @param headers further header fields
     * @param onToken called with each token's offset as it is received
     * @return the answer
     * @throws IOException if the connection breaks
     */
    public Answer complete(ObjectNode body, Map<String, String> headers, IntConsumer onToken)
            throws IOException {
        HttpRequest request =
                request("/v1/completions", headers)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(Json.text(body)))
                        .build();
        return read(request, onToken);
    }

    /**
     * Takes up a broken stream.
     *
     * @param token the resume token
     * @param lastEventId the last event received, -1 for none
     * @return the rest of the answer
     * @throws IOException if the connection breaks
     */
    public Answer resume(String token, int lastEventId) throws IOException {
        HttpRequest.Builder request =
                request("/v1/resume", Map.of("Orchidmount-Resume", token)).GET();
        if (lastEventId >= 0) {
            request.header("Last-Event-ID", String.valueOf(lastEventId));
        }
        return read(request.build(), offset -> {});
    }

    private static Answer read(HttpRequest request, IntConsumer onToken) throws IOException {
        HttpResponse<InputStream> response =
                send(request, HttpResponse.BodyHandlers.ofInputStream());
        String type = response.headers().firstValue("Content-Type").orElse("");
        try (InputStream body = response.body()) {
            if (type.startsWith("text/event-stream")) {
                return stream(response, body, onToken);
            }
            JsonNode json = Json.parse(body.readAllBytes());
            String text = json.path("choices").path(0).path("text").asText("");
            String outcome = header(response, "Orchidmount-Outcome");
            JsonNode error = json.path("error");
            return new Answer(response.statusCode(), outcome, text, error, -1, "", true, response);
        }
    }

    private static Answer stream(HttpResponse<?> response, InputStream body, IntConsumer onToken)
            throws IOException {
        return new Stream(response, onToken).read(body);
    }

    /**
     * Sends a GET.
     *
     * @param path the path
     * @return the answer
     */
    public HttpResponse<String> get(String path) {
        return sendUnchecked(request(path, Map.of()).GET().build());
    }

    /**
     * Sends a GET and parses the answer.
     *
     * @param path the path
     * @return the answer's body
     */
    public JsonNode getJson(String path) {
        try {
            return Json.parse(get(path).body().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends a POST with a JSON body.
     *
     * @param path the path
     * @param body the body
     * @param headers further header fields
     * @return the answer
     */
    public HttpResponse<String> post(String path, String body, Map<String, String> headers) {
        return sendUnchecked(
                request(path, headers)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    private HttpRequest.Builder request(String path, Map<String, String> headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(url + path)).timeout(TIMEOUT);
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        headers.forEach(request::header);
        return request;
    }

    private static HttpResponse<String> sendUnchecked(HttpRequest request) {
        try {
            return send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> HttpResponse<T> send(
            HttpRequest request, HttpResponse.BodyHandler<T> handler) throws IOException {
        try {
            return CLIENT.send(request, handler);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static String header(HttpResponse<?> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    /**
     * The answer to a completion request. Immutable.
     *
     * @param status the HTTP status
     * @param outcome what the answer says of the request's fate
     * @param text the tokens received
     * @param error the explanation of a refusal, or a missing node
     * @param lastOffset the last offset received, -1 for none
     * @param resumeToken the resume token last received
     * @param isComplete false for a stream that was cut after an event that tells why
     * @param response the answer's head
     */
    public record Answer(
            int status,
            String outcome,
            String text,
            JsonNode error,
            int lastOffset,
            String resumeToken,
            boolean isComplete,
            HttpResponse<?> response) {
        /**
         * Returns the id under which the router knows the request.
         *
         * @return the id
         */
        public String requestId() {
            return header(response, "Orchidmount-Request-Id");
        }
    }

    /** A stream that is being read. */
    private static final class Stream {
        private final HttpResponse<?> mResponse;
        private final IntConsumer mOnToken;
        private final StringBuilder mText = new StringBuilder();
        private String mOutcome = "unknown";
        private JsonNode mError = Json.object();
        private int mLast = -1;
        private String mResume;

        Stream(HttpResponse<?> response, IntConsumer onToken) {
            mResponse = response;
            mOnToken = onToken;
            mResume = header(response, "Orchidmount-Resume");
        }

        Answer read(InputStream body) throws IOException {
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
            try {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    add(line);
                }
                return answer(true);
            } catch (IOException e) {
                if (mError.isEmpty()) {
                    throw e;
                }
                return answer(false);
            }
        }

        private Answer answer(boolean isComplete) {
            return new Answer(
                    mResponse.statusCode(),
                    mOutcome,
                    mText.toString(),
                    mError,
                    mLast,
                    mResume,
                    isComplete,
                    mResponse);
        }

        private void add(String line) throws IOException {
            if (line.startsWith(": outcome ")) {
                mOutcome = line.substring(": outcome ".length());
            } else if (line.startsWith(": resume ")) {
                mResume = line.substring(": resume ".length());
            } else if (line.startsWith("data: {")) {
                byte[] data = line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8);
                JsonNode json = Json.parse(data);
                if (json.has("error")) {
                    mError = json.path("error");
                    return;
                }
                mText.append(json.path("choices").path(0).path("text").asText());
                mLast = json.path("offset").asInt();
                mOnToken.accept(mLast);
            }
        }
    }
}
