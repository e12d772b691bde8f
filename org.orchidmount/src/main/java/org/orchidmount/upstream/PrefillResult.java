/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a prefill engine answers.
 *
 * @param transfer names the KV cache that a decode engine may import; kept for seconds only
 * @param promptTokens the length of the prompt as the engine counts it
 * @param cachedTokens the part found in its prefix cache
 */
public record PrefillResult(ObjectNode transfer, int promptTokens, int cachedTokens) {}
