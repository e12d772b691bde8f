/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * A language model and the pools that serve it. Immutable.
 *
 * @param name the name callers give in the field "model"
 * @param prefillPool the pool whose engines process prompts
 * @param decodePool the pool whose engines generate tokens
 * @param firstTokenTargetMillis the target for the time to the first token
 * @param tokenGapTargetMillis the target for the time between tokens
 * @param kvBytesPerToken the KV cache one token takes
 * @param maxPromptTokens the longest prompt taken
 * @param maxOutputTokens the longest answer, and the answer length assumed when a caller names none
 * @param maxRunning the most requests running for this model, 0 for no limit
 */
public record ModelRow(
        String name,
        String prefillPool,
        String decodePool,
        long firstTokenTargetMillis,
        long tokenGapTargetMillis,
        long kvBytesPerToken,
        int maxPromptTokens,
        int maxOutputTokens,
        int maxRunning)
        implements Row {
    /** Checks the fields. */
    public ModelRow {
        Fields.name("name", name);
        Fields.name("prefillPool", prefillPool);
        Fields.name("decodePool", decodePool);
        Fields.range("firstTokenTargetMillis", firstTokenTargetMillis, 1, RowLimits.MAX_MILLIS);
        Fields.range("tokenGapTargetMillis", tokenGapTargetMillis, 1, RowLimits.MAX_MILLIS);
        Fields.range("kvBytesPerToken", kvBytesPerToken, 1, RowLimits.MAX_KV_BYTES_PER_TOKEN);
        Fields.range("maxPromptTokens", maxPromptTokens, 1, RowLimits.MAX_TOKENS);
        Fields.range("maxOutputTokens", maxOutputTokens, 1, RowLimits.MAX_TOKENS);
        Fields.range("maxRunning", maxRunning, 0, RowLimits.MAX_REQUESTS);
    }

    @Override
    public RowKind rowKind() {
        return RowKind.MODEL;
    }
}
