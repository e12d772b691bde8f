/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;

/**
 * Compares what the code does with what an earlier version did, which is kept line by line in a
 * file under {@code pins/} of the test resources.
 *
 * <p>Nothing here overwrites a pin. Where the two differ, the present text is written below {@code
 * target/pins}; a pin is changed by hand, with the reason in the commit. Stateless and thread-safe.
 */
public final class Pin {
    private Pin() {}

    /**
     * Compares text with a pin.
     *
     * @param name the name of the pin's file
     * @param actual what the code does now, line by line
     * @throws AssertionError if they differ, with the first line that does
     */
    public static void check(String name, List<String> actual) {
        List<String> pinned = read(name);
        if (pinned.equals(actual)) {
            return;
        }
        Path file = write(name, actual);
        throw new AssertionError(
                "pin %s: %s; the present text is in %s"
                        .formatted(name, difference(pinned, actual), file));
    }

    /**
     * Reads a pin.
     *
     * @param name the name of the pin's file
     * @return its lines; none if there is no such file
     */
    public static List<String> read(String name) {
        try (InputStream file = Pin.class.getResourceAsStream("/pins/" + name)) {
            return file == null
                    ? List.of()
                    : new String(file.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String difference(List<String> pinned, List<String> actual) {
        Iterator<String> before = pinned.iterator();
        Iterator<String> now = actual.iterator();
        for (int line = 1; before.hasNext() && now.hasNext(); line++) {
            String pin = before.next();
            String text = now.next();
            if (!pin.equals(text)) {
                return "line %d was \"%s\" and is \"%s\"".formatted(line, pin, text);
            }
        }
        return "%d lines were pinned, there are %d".formatted(pinned.size(), actual.size());
    }

    private static Path write(String name, List<String> actual) {
        try {
            Path file = Path.of("target", "pins", name);
            Files.createDirectories(file.getParent());
            return Files.write(file, actual);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
