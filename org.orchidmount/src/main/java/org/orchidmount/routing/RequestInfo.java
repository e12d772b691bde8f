/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * What a decision needs to know of a request. Immutable.
 *
 * @param id the request's id
 * @param model the model's name
 * @param promptTokens the estimated length of the prompt
 * @param maxOutputTokens the longest answer asked for
 * @param kvBytes the KV cache that prompt and answer take together
 * @param promptKvBytes the KV cache of the prompt, which is transferred between the pools
 * @param maxFirstTokenMillis the latest useful first token, counted from the arrival; 0 for no
 *     bound
 * @param arrivedNanos when the request arrived, in monotonic time
 */
public record RequestInfo(
        String id,
        String model,
        int promptTokens,
        int maxOutputTokens,
        long kvBytes,
        long promptKvBytes,
        long maxFirstTokenMillis,
        long arrivedNanos) {}
