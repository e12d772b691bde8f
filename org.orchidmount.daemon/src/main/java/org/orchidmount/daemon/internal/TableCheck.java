/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.io.IOException;
import org.orchidmount.settings.Settings;
import org.orchidmount.table.ChangeResult;
import org.orchidmount.table.Table;

/** Checks the files that settings name, without starting anything. Stateless and thread-safe. */
public final class TableCheck {
    private TableCheck() {}

    /**
     * Reads the operators' tokens and the first table as a start would.
     *
     * @param settings the settings
     * @throws IOException if a file is not sound; the message names it and the place
     */
    public static void check(Settings settings) throws IOException {
        OperatorTokens.read(settings.operators().tokensFile());
        if (settings.firstTable().isEmpty()) {
            return;
        }
        ChangeResult result =
                Table.empty().apply(FirstTable.read(settings.firstTable().get())).result();
        if (result instanceof ChangeResult.Invalid invalid) {
            throw new IOException(
                    settings.firstTable().get() + ": " + String.join("; ", invalid.problems()));
        }
    }
}
