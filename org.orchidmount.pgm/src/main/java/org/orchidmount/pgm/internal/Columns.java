/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import java.util.ArrayList;
import java.util.List;

/** Aligns rows of text in columns. Not thread-safe. */
public final class Columns {
    private static final String GAP = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    /**
     * Begins with the titles.
     *
     * @param titles the titles
     */
    public Columns(String... titles) {
        mRows.add(List.of(titles));
    }

    /**
     * Adds a row.
     *
     * @param cells as many cells as there are titles
     */
    public void add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        mRows.add(row);
    }

    @Override
    public String toString() {
        int count = mRows.getFirst().size();
        int[] widths = new int[count];
        for (List<String> row : mRows) {
            for (int i = 0; i < count; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : mRows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < count; i++) {
                line.append(row.get(i)).repeat(' ', widths[i] - row.get(i).length()).append(GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
