/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.api;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads one thing that takes no parameters. Not thread-safe. */
public final class ReadCommand extends OperatorCommand<JsonNode> {
    private final String mPath;

    ReadCommand(Orchidmount instance, String path) {
        super(instance);
        mPath = path;
    }

    @Override
    public CommandResult<JsonNode> call() {
        return get(mPath);
    }
}
