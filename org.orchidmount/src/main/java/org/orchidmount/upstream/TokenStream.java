/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import org.orchidmount.errors.CallFailedException;

/**
 * The tokens of one answer, in order.
 *
 * <p>Invariant: each chunk belongs to the request asked for and follows the one before; others are
 * dropped and counted. Used by one thread.
 */
public interface TokenStream extends AutoCloseable {
    /**
     * Waits for the next token.
     *
     * @return the token, or null at the regular end
     * @throws CallFailedException if the stream breaks off or leaves a gap
     */
    TokenChunk next() throws CallFailedException;

    @Override
    void close();
}
