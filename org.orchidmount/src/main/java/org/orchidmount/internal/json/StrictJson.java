/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Reads JSON whose writer is not known. Text that can be read in two ways is refused: what is not
 * UTF-8, a key that stands twice, anything behind the value; and so is text that costs much to
 * read. Stateless and thread-safe.
 */
public final class StrictJson {
    /** A message of the platform has some five levels. */
    private static final int MAX_NESTING = 32;

    /** A whole number of 64 bits has 20 characters, a fraction some more. */
    private static final int MAX_NUMBER_CHARACTERS = 64;

    private static final JsonMapper MAPPER =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING)
                                                    .maxNumberLength(MAX_NUMBER_CHARACTERS)
                                                    .build())
                                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private StrictJson() {}

    /**
     * Parses UTF-8 text.
     *
     * @param utf8 the text
     * @return the tree
     * @throws IOException if the text is not one whole JSON value in UTF-8; the message says what
     *     is wrong, in printable ASCII
     */
    public static JsonNode parse(byte[] utf8) throws IOException {
        JsonNode node;
        try {
            node = MAPPER.readTree(decode(utf8));
        } catch (JsonProcessingException e) {
            throw new IOException(e.getOriginalMessage().replaceAll("[^ -~]+", "?"), e);
        }
        if (node.isMissingNode()) {
            throw new IOException("the text is empty");
        }
        return node;
    }

    private static String decode(byte[] utf8) throws IOException {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(utf8))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new IOException("the text is not UTF-8", e);
        }
    }
}
