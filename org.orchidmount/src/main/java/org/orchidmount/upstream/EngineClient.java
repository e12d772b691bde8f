/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import java.util.List;
import org.orchidmount.errors.Attempt;
import org.orchidmount.internal.http.Peer;

/**
 * Speaks to model engines. Calls block the calling virtual thread. Implementations are thread-safe.
 *
 * <p>The protocol is described in docs/ENGINE-PROTOCOL.md.
 */
public interface EngineClient {
    /**
     * Processes a prompt and leaves its KV cache for a decode engine to import.
     *
     * @param request the request
     * @param cancel breaks the call off
     * @return the name of the cache, or why there is none
     */
    Attempt<PrefillResult> prefill(EngineRequest request, CancelSignal cancel);

    /**
     * Imports a KV cache and begins to generate.
     *
     * @param request the request
     * @param prefilled the cache to import
     * @param cancel breaks the call off, and later the stream
     * @return the tokens from offset 0, or why there are none
     */
    Attempt<TokenStream> decode(
            EngineRequest request, PrefillResult prefilled, CancelSignal cancel);

    /**
     * Takes up the stream of a request that the engine still holds.
     *
     * @param engine the engine
     * @param id the id the request was sent under
     * @param offset the first token wanted
     * @param cancel breaks the stream off
     * @return the tokens from the offset, or why there are none
     */
    Attempt<TokenStream> resume(Peer engine, String id, int offset, CancelSignal cancel);

    /**
     * Makes an engine drop a request and everything it holds for it.
     *
     * @param engine the engine
     * @param id the id the request was sent under
     * @return true if the engine knew the request, false if not; or why that is unknown
     */
    Attempt<Boolean> cancel(Peer engine, String id);

    /**
     * Reads the load of an engine.
     *
     * @param engine the engine
     * @param eventsAfter the number of the last cache event seen
     * @return the report, or why there is none
     */
    Attempt<EngineReport> report(Peer engine, long eventsAfter);

    /**
     * Lists the requests an engine holds.
     *
     * @param engine the engine
     * @return the requests, or why they are unknown
     */
    Attempt<List<RunningRequest>> running(Peer engine);
}
