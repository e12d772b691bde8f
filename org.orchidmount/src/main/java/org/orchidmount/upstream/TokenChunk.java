/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One message of an engine's token stream.
 *
 * @param offset the position of the token in the answer, from 0
 * @param text the token's text
 * @param finishReason why the answer ends here, or null if it goes on
 * @param json the message as the engine sent it
 */
public record TokenChunk(int offset, String text, String finishReason, ObjectNode json) {}
