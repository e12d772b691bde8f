/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Properties of a request on which a decision depends. Immutable.
 *
 * @param id the request's id
 * @param model name of the model
 * @param promptTokens estimated length of the prompt
 * @param maxOutputTokens maximum length of the output
 * @param kvBytes KV cache size of prompt and output together
 * @param promptKvBytes KV cache size of the prompt, which is transferred between the pools
 * @param maxFirstTokenMillis latency bound for the first token, counted from the arrival; 0 for no
 *     bound
 * @param arrivedNanos monotonic time of arrival
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
