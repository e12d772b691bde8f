/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads logs that instances wrote as JSON lines. What stands before the object of a line, as the
 * label that a collector of logs adds, is kept as its source.
 *
 * <p>A line that cannot be read is named with its place and skipped. Not thread-safe.
 */
public final class LogFiles {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintWriter mErrors;
    private int mSkipped;

    /**
     * One line of a log.
     *
     * @param time when it was written
     * @param source the label before it; else the name of its file
     * @param message what it says
     */
    public record Line(Instant time, String source, String message) {}

    /**
     * Creates a reader.
     *
     * @param errors takes the places of lines that cannot be read
     */
    public LogFiles(PrintWriter errors) {
        mErrors = errors;
    }

    /**
     * Reads files.
     *
     * @param files the files
     * @return their lines, in the order of the files
     * @throws CliException if a file cannot be read at all
     */
    public List<Line> read(List<Path> files) {
        List<Line> lines = new ArrayList<>();
        for (Path file : files) {
            read(file, lines);
        }
        return lines;
    }

    /**
     * Returns how many lines were skipped.
     *
     * @return the number
     */
    public int skipped() {
        return mSkipped;
    }

    private void read(Path file, List<Line> lines) {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPLACE)
                        .onUnmappableCharacter(CodingErrorAction.REPLACE);
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
            int number = 0;
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                number++;
                String place = file + ":" + number;
                parse(place, file.getFileName().toString(), text).ifPresent(lines::add);
            }
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.FAILED, file + " cannot be read: " + e + "; name a readable log file");
        }
    }

    /** Reads one line; blank lines, and those without an object, are no log lines. */
    private Optional<Line> parse(String place, String file, String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        String label = text.substring(0, begin).strip();
        try {
            JsonNode line = JSON.readTree(text.substring(begin));
            if (!line.path("message").isTextual()) {
                return skip(place, "it has no message");
            }
            Instant time = Instant.parse(line.path("time").asText());
            String source = label.isEmpty() ? file : label;
            return Optional.of(new Line(time, source, line.path("message").asText()));
        } catch (JsonProcessingException e) {
            return skip(place, e.getOriginalMessage());
        } catch (DateTimeException e) {
            return skip(place, e.getMessage());
        }
    }

    /** Names a line that is left out. */
    private Optional<Line> skip(String place, String reason) {
        mSkipped++;
        mErrors.println(place + ": no log line, skipped: " + reason);
        return Optional.empty();
    }
}
