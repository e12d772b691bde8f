/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.orchidmount.quota.QuotaTolerance;
import org.orchidmount.relay.UnreadRule;
import org.orchidmount.routing.BodyMemoryRule;

/**
 * Reads and checks the settings file of an instance of a site whose upstreams register themselves.
 *
 * <p>Stateless and thread-safe.
 */
public final class SiteSettingsReader {
    /** By then an instance serves, and its start has used its processor time. */
    private static final double SUSPENSIONS_AFTER_MILLIS = 3_000;

    private static final double MILLIS = 1_000;

    /** Share of prefill engines without a setting. */
    private static final double DEFAULT_PREFILL_SHARE = 0.22;

    /** Upper bound of a setting. */
    private static final double LONGEST_STOP_SECONDS = 3_600;

    /** Upper bound of a setting; far more than any account has. */
    private static final double MOST_TOLERATED_UNITS = 1e12;

    /** Upper bound of a setting; more than the entries of any site. */
    private static final int MOST_ENTRIES_PER_SLOT = 1_000;

    /** Lower bound of a setting: with less, callers that pause for a moment are disconnected. */
    private static final int LEAST_CALLER_BYTES = 64 * 1024;

    /** Lower bound of a setting: the largest response that is not streamed, 4 MiB, has to fit. */
    private static final int LEAST_TOTAL_BYTES = 5 * 1024 * 1024;

    /** The largest body that callers may be allowed to send. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private SiteSettingsReader() {}

    /** The settings, or all that is wrong with the file. */
    public sealed interface Result {
        /** The file is well. */
        record Valid(SiteSettings settings) implements Result {}

        /** The file is not. */
        record Invalid(List<SettingsProblem> problems) implements Result {}
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings, or all that is wrong with the file
     */
    public static Result read(Path file) {
        SettingsReader.Parsed<SiteSettings> parsed =
                SettingsReader.parse(file, SiteSettingsReader::settings);
        if (parsed instanceof SettingsReader.Parsed.Bad<SiteSettings> bad) {
            return new Result.Invalid(bad.problems());
        }
        return new Result.Valid(((SettingsReader.Parsed.Good<SiteSettings>) parsed).value());
    }

    private static SiteSettings settings(Section root) {
        SiteSettings settings =
                new SiteSettings(
                        root.name("instance"),
                        root.name("zone"),
                        root.hostPort("cluster"),
                        root.hostPorts("seeds"),
                        root.has("entry")
                                ? Optional.of(entry(root.section("entry", true)))
                                : Optional.empty(),
                        root.has("voter")
                                ? Optional.of(voter(root.section("voter", true)))
                                : Optional.empty(),
                        retries(root.section("retries", false)),
                        limits(root.section("accountLimits", false)),
                        keyRevocation(root),
                        sharedState(root),
                        seconds(root.decimal("stopSeconds", 8, 0.1, LONGEST_STOP_SECONDS)),
                        millis(root, "suspensionsAfterMillis", SUSPENSIONS_AFTER_MILLIS),
                        root.has("unreadResponses")
                                ? unreadResponses(root.section("unreadResponses", true))
                                : Optional.empty(),
                        root.has("requestBodies")
                                ? Optional.of(requestBodies(root.section("requestBodies", true)))
                                : Optional.empty(),
                        SettingsReader.log(root.section("log", false)));
        if (settings.entry().isEmpty() == settings.voter().isEmpty()) {
            root.reject("entry", "give either the object \"entry\" or the object \"voter\"");
        }
        root.finish();
        return settings;
    }

    private static SiteSettings.Entry entry(Section section) {
        SiteSettings.Entry entry =
                new SiteSettings.Entry(
                        section.hostPort("callers"),
                        section.hostPort("ready"),
                        section.has("tunnels")
                                ? Optional.of(section.hostPort("tunnels"))
                                : Optional.empty());
        section.finish();
        return entry;
    }

    private static SiteSettings.Voter voter(Section section) {
        SiteSettings.Voter voter =
                new SiteSettings.Voter(
                        section.hostPort("operators"),
                        Path.of(section.text("dataFolder", "data")),
                        section.flag("firstStart", false),
                        section.count("lossesBorne", 1, 0, 100),
                        engines(section.section("engines", false)));
        section.finish();
        return voter;
    }

    private static SiteSettings.Engines engines(Section section) {
        SiteSettings.Engines engines =
                new SiteSettings.Engines(
                        millis(section, "leaseMillis", 3_000),
                        millis(section, "heartbeatMillis", 1_000),
                        section.decimal("prefillShare", DEFAULT_PREFILL_SHARE, 0, 1));
        section.finish();
        return engines;
    }

    private static Duration millis(Section section, String key, double otherwise) {
        return Duration.ofMillis(
                Math.round(section.decimal(key, otherwise, 1, LONGEST_STOP_SECONDS * MILLIS)));
    }

    private static SiteSettings.Retries retries(Section section) {
        SiteSettings.Retries retries =
                new SiteSettings.Retries(
                        section.decimal("ratio", 0.1, 0, 10),
                        seconds(section.decimal("windowSeconds", 10, 0.1, 3_600)),
                        (int) section.decimal("slack", 10, 0, 1_000_000));
        section.finish();
        return retries;
    }

    private static QuotaTolerance limits(Section section) {
        QuotaTolerance limits =
                new QuotaTolerance(
                        seconds(section.decimal("windowSeconds", 10, 0.1, 3_600)),
                        section.decimal("toleratedShare", 0.1, 0, 10),
                        section.decimal("toleratedUnits", 0, 0, MOST_TOLERATED_UNITS));
        section.finish();
        return limits;
    }

    private static Optional<UnreadRule> unreadResponses(Section section) {
        int callerBytes = section.bytes("callerBytes", null, LEAST_CALLER_BYTES, Integer.MAX_VALUE);
        int totalBytes = section.bytes("totalBytes", null, LEAST_TOTAL_BYTES, Integer.MAX_VALUE);
        section.finish();
        if (totalBytes < callerBytes) {
            section.reject(
                    "totalBytes", "is less than \"callerBytes\"; give at least " + callerBytes);
            return Optional.empty();
        }
        return Optional.of(new UnreadRule(callerBytes, totalBytes));
    }

    private static BodyMemoryRule requestBodies(Section section) {
        BodyMemoryRule rule = SettingsReader.bodyMemory(section, "totalBytes", MAX_BODY_BYTES);
        section.finish();
        return rule;
    }

    private static Optional<Duration> keyRevocation(Section root) {
        return root.has("keyRevocationMillis")
                ? Optional.of(millis(root, "keyRevocationMillis", 0))
                : Optional.empty();
    }

    private static Optional<SiteSettings.SharedState> sharedState(Section root) {
        if (!root.has("sharedState")) {
            return Optional.empty();
        }
        Section section = root.section("sharedState", true);
        int entriesPerSlot = section.requiredCount("entriesPerSlot", 1, MOST_ENTRIES_PER_SLOT);
        boolean hasQueueOrder = section.flag("queueOrder", false);
        section.finish();
        return Optional.of(new SiteSettings.SharedState(entriesPerSlot, hasQueueOrder));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * MILLIS));
    }
}
