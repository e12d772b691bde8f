/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.orchidmount.routing.BodyMemoryRule;
import org.orchidmount.routing.Policies;

/**
 * Reads and checks a settings file as a whole.
 *
 * <p>Paths in the file are taken relative to the file's folder. Stateless and thread-safe.
 */
public final class SettingsReader {
    /** The longest time that a setting may have: one day. */
    private static final long DAY_MILLIS = 86_400_000;

    /** A shorter key of a signature is weaker than its hash, which has 32 bytes. */
    private static final int MIN_KEY_BYTES = 32;

    /** What the parser adds about its own state. */
    private static final String PARSER_DETAIL = " \\(start marker at .*";

    /** The largest body of a completion that may be allowed: it is held whole. */
    private static final int MAX_BODY_BYTES = 256 * 1024 * 1024;

    private static final String TOTAL_BODY_BYTES = "totalBodyBytes";

    private SettingsReader() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings, or all that is wrong with the file
     */
    public static SettingsResult read(Path file) {
        List<SettingsProblem> warnings = new ArrayList<>();
        Path folder = file.toAbsolutePath().getParent();
        return switch (parse(file, section -> settings(section, folder, warnings))) {
            case Parsed.Good<Settings>(Settings settings) ->
                    new SettingsResult.Valid(settings, List.copyOf(warnings));
            case Parsed.Bad<Settings>(List<SettingsProblem> problems) ->
                    new SettingsResult.Invalid(problems);
        };
    }

    /** A file that was read as a whole, or all that is wrong with it. */
    sealed interface Parsed<T> {
        /** The file is well. */
        record Good<T>(T value) implements Parsed<T> {}

        /** The file is not. */
        record Bad<T>(List<SettingsProblem> problems) implements Parsed<T> {}
    }

    /** Reads a file of JSON with comments and checks it by a function. */
    static <T> Parsed<T> parse(Path file, Function<Section, T> check) {
        List<SettingsProblem> problems = new ArrayList<>();
        String name = file.toString();
        Located root;
        try {
            root =
                    Located.parse(
                            Files.readString(file),
                            (key, line, column) ->
                                    problems.add(
                                            new SettingsProblem(
                                                    name,
                                                    line,
                                                    column,
                                                    key,
                                                    "stands twice; remove one")));
        } catch (JsonProcessingException e) {
            return new Parsed.Bad<>(List.of(invalidJson(name, e)));
        } catch (IOException e) {
            return new Parsed.Bad<>(
                    List.of(new SettingsProblem(name, 0, 0, "", "cannot be read: " + e)));
        }
        if (!(root instanceof Located.Obj object)) {
            return new Parsed.Bad<>(
                    List.of(new SettingsProblem(name, 1, 1, "", "must be an object in braces")));
        }
        T value = check.apply(new Section(name, "", object, problems));
        if (problems.isEmpty()) {
            return new Parsed.Good<>(value);
        }
        problems.sort(
                Comparator.comparingInt(SettingsProblem::line)
                        .thenComparingInt(SettingsProblem::column));
        return new Parsed.Bad<>(List.copyOf(problems));
    }

    private static SettingsProblem invalidJson(String name, JsonProcessingException e) {
        int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
        int column = e.getLocation() == null ? 1 : e.getLocation().getColumnNr();
        String message =
                "is not JSON with comments: "
                        + e.getOriginalMessage().replaceFirst(PARSER_DETAIL, "");
        return new SettingsProblem(name, line, column, "", message);
    }

    private static Settings settings(Section root, Path folder, List<SettingsProblem> warnings) {
        Settings settings =
                new Settings(
                        root.name("instance"),
                        root.name("region"),
                        root.name("zone"),
                        callers(root.section("callers", true)),
                        operators(root.section("operators", true), folder, warnings),
                        folder.resolve(root.text("dataFolder", "data")).normalize(),
                        firstTable(root, folder),
                        log(root.section("log", false)),
                        root.choice("policy", Policies.NAMES),
                        resume(root.section("resume", true), folder, warnings),
                        drain(root.section("drain", false)),
                        upstreams(root.section("upstreams", false)));
        root.finish();
        return settings;
    }

    private static Settings.Callers callers(Section section) {
        int maxBodyBytes = section.bytes("maxBodyBytes", 8 * 1024 * 1024, 1024, MAX_BODY_BYTES);
        Settings.Callers callers =
                new Settings.Callers(
                        section.address("host"),
                        section.port("port"),
                        section.count("maxConnections", 10_000, 1, 1_000_000),
                        section.bytes("maxHeaderBytes", 16_384, 1024, 1024 * 1024),
                        maxBodyBytes,
                        bodyMemory(section, maxBodyBytes),
                        section.millis("headerTimeoutMillis", 10_000, 10, DAY_MILLIS),
                        section.millis("bodyTimeoutMillis", 30_000, 10, DAY_MILLIS),
                        section.millis("idleTimeoutMillis", 60_000, 10, DAY_MILLIS),
                        section.millis("writeTimeoutMillis", 60_000, 10, DAY_MILLIS));
        section.finish();
        return callers;
    }

    private static BodyMemoryRule bodyMemory(Section section, int maxBodyBytes) {
        return section.has(TOTAL_BODY_BYTES)
                ? bodyMemory(section, TOTAL_BODY_BYTES, maxBodyBytes)
                : BodyMemoryRule.ofHeap(Runtime.getRuntime().maxMemory(), 0);
    }

    /** Reads a bound on the bodies of all requests, which the heap has to bear. */
    static BodyMemoryRule bodyMemory(Section section, String key, int maxBodyBytes) {
        long mostBytes = BodyMemoryRule.mostOfHeap(Runtime.getRuntime().maxMemory());
        long leastBytes = BodyMemoryRule.leastFor(maxBodyBytes);
        int totalBytes =
                section.bytes(
                        key,
                        null,
                        (int) Math.min(Integer.MAX_VALUE, leastBytes),
                        (int) Math.min(Integer.MAX_VALUE, mostBytes));
        return new BodyMemoryRule(Math.max(leastBytes, totalBytes));
    }

    private static Settings.Operators operators(
            Section section, Path folder, List<SettingsProblem> warnings) {
        Settings.Operators operators =
                new Settings.Operators(
                        section.address("host"),
                        section.port("port"),
                        secretFile(section, "tokensFile", folder, warnings, 0));
        section.finish();
        return operators;
    }

    private static Optional<Path> firstTable(Section root, Path folder) {
        String name = root.text("firstTableFile", "");
        if (name.isEmpty()) {
            return Optional.empty();
        }
        Path file = folder.resolve(name).normalize();
        if (!Files.isReadable(file)) {
            root.reject("firstTableFile", "the file " + file + " cannot be read");
        }
        return Optional.of(file);
    }

    static Settings.Log log(Section section) {
        Settings.Log log =
                new Settings.Log(
                        section.choice("format", List.of("text", "json")).equals("json"),
                        section.choice("level", List.of("INFO", "FINE", "WARNING", "SEVERE")));
        section.finish();
        return log;
    }

    private static Settings.Resume resume(
            Section section, Path folder, List<SettingsProblem> warnings) {
        Settings.Resume resume =
                new Settings.Resume(
                        secretFile(section, "keyFile", folder, warnings, MIN_KEY_BYTES),
                        section.millis("validMillis", 60_000, 100, DAY_MILLIS));
        section.finish();
        return resume;
    }

    private static Settings.Drain drain(Section section) {
        Settings.Drain drain =
                new Settings.Drain(
                        section.millis("noticeMillis", 2_000, 0, DAY_MILLIS),
                        section.millis("limitMillis", 120_000, 0, DAY_MILLIS));
        section.finish();
        return drain;
    }

    private static Settings.Upstreams upstreams(Section section) {
        Settings.Upstreams upstreams =
                new Settings.Upstreams(
                        section.millis("connectTimeoutMillis", 1_000, 10, 60_000),
                        section.millis("firstTokenTimeoutMillis", 30_000, 10, DAY_MILLIS),
                        section.millis("tokenTimeoutMillis", 10_000, 10, DAY_MILLIS),
                        section.millis("cancelTimeoutMillis", 2_000, 10, 60_000),
                        section.millis("reportEveryMillis", 250, 10, 60_000),
                        section.millis("orphanGraceMillis", 3_000, 0, DAY_MILLIS),
                        section.count("retryPercent", 10, 0, 100));
        section.finish();
        return upstreams;
    }

    private static Path secretFile(
            Section section,
            String key,
            Path folder,
            List<SettingsProblem> warnings,
            int leastBytes) {
        String name = section.text(key, null);
        if (name == null) {
            return folder;
        }
        Path file = folder.resolve(name).normalize();
        try {
            if (Files.size(file) < leastBytes) {
                section.reject(key, "the file " + file + " needs " + leastBytes + " bytes or more");
            }
            if (!Files.isReadable(file)) {
                section.reject(key, "the file " + file + " cannot be read; check its owner");
            }
            Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
            if (permissions.contains(PosixFilePermission.OTHERS_READ)) {
                warnings.add(
                        section.warning(key, "others can read " + file + "; run chmod o-r on it"));
            }
        } catch (IOException | UnsupportedOperationException e) {
            section.reject(
                    key, "the file " + file + " is missing; make it as docs/OPERATIONS.md says");
        }
        return file;
    }
}
