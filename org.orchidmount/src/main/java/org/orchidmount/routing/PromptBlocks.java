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
 * A prompt cut into blocks whose chained hashes name its prefixes.
 *
 * <p>The hash of a block covers all blocks before it, so two prompts that share the first n hashes
 * share the first n blocks. Engines name the blocks of their prefix caches in the same way.
 * Immutable: the array must not be changed.
 *
 * @param tokens the estimated length of the prompt
 * @param hashes the chained hash of each full block
 */
public record PromptBlocks(int tokens, long[] hashes) {
    /** The bytes taken for one token when a prompt's length is estimated. */
    public static final int BYTES_PER_TOKEN = 4;

    /** The tokens in one block. */
    public static final int BLOCK_TOKENS = 64;

    private static final int BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;
    private static final HashFunction HASH = Hashing.murmur3_128();

    /**
     * Cuts a prompt into blocks.
     *
     * @param prompt the prompt
     * @return its length and block hashes
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
