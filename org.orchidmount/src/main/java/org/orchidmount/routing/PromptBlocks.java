/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * A prompt divided into blocks whose chained hashes identify its prefixes.
 *
 * <p>The hash of a block covers all blocks before it, so two prompts that share the first n hashes
 * share the first n blocks. Engines identify the blocks of their prefix caches in the same way.
 * Immutable: the array must not be changed.
 *
 * @param tokens estimated length of the prompt, at least 1
 * @param hashes chained hash of each full block
 */
public record PromptBlocks(int tokens, long[] hashes) {
    /** Bytes per token assumed when the length of a prompt is estimated. */
    public static final int BYTES_PER_TOKEN = 4;

    /** Tokens in one block. */
    public static final int BLOCK_TOKENS = 64;

    private static final int BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;
    private static final HashFunction HASH = Hashing.murmur3_128();

    /**
     * Divides a prompt into blocks.
     *
     * @param prompt text of the prompt
     * @return estimated length and block hashes; a last block that is not full has no hash
     */
    public static PromptBlocks of(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int tokens = Math.max(1, (bytes.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
        long[] hashes = new long[bytes.length / BLOCK_BYTES];
        long chained = 0;
        for (int i = 0; i < hashes.length; i++) {
            Hasher hasher = HASH.newHasher().putLong(chained);
            HashCode code = hasher.putBytes(bytes, i * BLOCK_BYTES, BLOCK_BYTES).hash();
            chained = code.asLong();
            hashes[i] = chained;
        }
        return new PromptBlocks(tokens, hashes);
    }
}
