/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

/**
 * One thing wrong with a settings file. Immutable.
 *
 * @param file the file
 * @param line the line, from 1; 0 if the file as a whole is meant
 * @param column the column, from 1
 * @param path the place in the document, for example "callers.port"
 * @param message what is wrong and the remedy
 */
public record SettingsProblem(String file, int line, int column, String path, String message) {
    @Override
    public String toString() {
        String place = line == 0 ? file : file + ":" + line + ":" + column;
        return place + ": " + (path.isEmpty() ? "" : path + ": ") + message;
    }
}
