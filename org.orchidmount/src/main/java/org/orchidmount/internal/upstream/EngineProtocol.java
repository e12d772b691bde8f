/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.upstream;

import io.undertow.util.HttpString;

/** The names used in the engine protocol. */
public final class EngineProtocol {
    /** Names the request. */
    public static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

    /** Names the instance that sends a request. */
    public static final HttpString INSTANCE = new HttpString("X-Instance");

    /** Names the run of that instance. */
    public static final HttpString INCARNATION = new HttpString("X-Incarnation");

    /** The path of completions. */
    public static final String COMPLETIONS = "/v1/completions";

    /** The path of chat completions. */
    public static final String CHAT_COMPLETIONS = "/v1/chat/completions";

    /** The path under which the requests of an engine are found. */
    public static final String REQUESTS = "/v1/requests";

    /** The path of the load report. */
    public static final String REPORT = "/v1/report";

    /** The field of a body that steers the transfer of KV cache. */
    public static final String TRANSFER = "kv_transfer_params";

    /** Set in a transfer that a prefill engine is to keep for a decode engine. */
    public static final String REMOTE_DECODE = "do_remote_decode";

    /** Set in a transfer that a decode engine is to import. */
    public static final String REMOTE_PREFILL = "do_remote_prefill";

    /** The data of the event that ends a stream. */
    public static final String DONE = "[DONE]";

    private EngineProtocol() {}
}
