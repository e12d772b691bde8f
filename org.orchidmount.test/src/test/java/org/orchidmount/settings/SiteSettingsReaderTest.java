/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.quota.QuotaTolerance;
import org.orchidmount.relay.UnreadRule;
import org.orchidmount.routing.BodyMemoryRule;

/** Tests {@code SiteSettingsReader}. */
final class SiteSettingsReaderTest {
    private static final String ENTRY =
            """
            {
              // an entry
              "instance": "front-1",
              "zone": "a",
              "cluster": "10.1.0.2:7000",
              "seeds": ["10.1.0.3:8000", "10.1.0.4:8000"],
              "entry": { "callers": "10.1.0.2:8001", "ready": "10.1.0.2:8002" },
              "retries": { "ratio": 0.2, "windowSeconds": 10, "slack": 56.0 },
              "stopSeconds": 8
            }
            """;

    /** What is added for client accounts, in the line of "stopSeconds". */
    private static final String ACCOUNTS =
            "\"accountLimits\": { \"windowSeconds\": 8, \"toleratedShare\": 0.1,"
                    + " \"toleratedUnits\": 120000 }, \"keyRevocationMillis\": 5000,"
                    + " \"stopSeconds\"";

    /** What is added for callers that read slowly, in the line of "stopSeconds". */
    private static final String UNREAD =
            "\"unreadResponses\": { \"callerBytes\": 1048576, \"totalBytes\": 16777216 },"
                    + " \"stopSeconds\"";

    @TempDir Path mFolder;

    @Test
    void readsAnEntry() throws IOException {
        SiteSettings settings = ((SiteSettingsReader.Result.Valid) read(ENTRY)).settings();
        assertThat(settings.seeds()).hasSize(2);
        assertThat(settings.entry().get().ready().port()).isEqualTo(8002);
        assertThat(settings.voter()).isEmpty();
        assertThat(settings.retries().slack()).isEqualTo(56);
        assertThat(settings.stop()).isEqualTo(Duration.ofSeconds(8));
    }

    @Test
    void readsFromWhenOnSuspensionsCount() throws IOException {
        SiteSettings usual = ((SiteSettingsReader.Result.Valid) read(ENTRY)).settings();
        assertThat(usual.suspensionsAfter()).isEqualTo(Duration.ofSeconds(3));
        String text =
                ENTRY.replace("\"stopSeconds\"", "\"suspensionsAfterMillis\": 1, \"stopSeconds\"");
        SiteSettings stated = ((SiteSettingsReader.Result.Valid) read(text)).settings();
        assertThat(stated.suspensionsAfter()).isEqualTo(Duration.ofMillis(1));
    }

    @Test
    void readsWhatHoldsForClientAccounts() throws IOException {
        String text = ENTRY.replace("\"stopSeconds\"", ACCOUNTS);
        SiteSettings settings = ((SiteSettingsReader.Result.Valid) read(text)).settings();
        assertThat(settings.limits())
                .isEqualTo(new QuotaTolerance(Duration.ofSeconds(8), 0.1, 120_000));
        assertThat(settings.keyRevocation()).hasValue(Duration.ofSeconds(5));
    }

    /** A site that does not say tolerates a tenth, and no instance stops for keys withdrawn. */
    @Test
    void withoutWordOfClientAccountsTheyHaveBounds() throws IOException {
        SiteSettings settings = ((SiteSettingsReader.Result.Valid) read(ENTRY)).settings();
        assertThat(settings.limits()).isEqualTo(new QuotaTolerance(Duration.ofSeconds(10), 0.1, 0));
        assertThat(settings.keyRevocation()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "8, \"toleratedShare\" | 0, \"toleratedShare\" | accountLimits.windowSeconds",
                "0.1, | -0.1, | accountLimits.toleratedShare",
                "120000 | \"many\" | accountLimits.toleratedUnits",
                "toleratedUnits | slack | accountLimits.slack",
                "5000 | true | keyRevocationMillis",
            })
    void badSettingsOfClientAccountsAreNamed(String text, String replacement, String key)
            throws IOException {
        String accounts = ACCOUNTS.replace(text, replacement);
        assertThat(accounts).isNotEqualTo(ACCOUNTS);
        SiteSettingsReader.Result.Invalid invalid =
                (SiteSettingsReader.Result.Invalid)
                        read(ENTRY.replace("\"stopSeconds\"", accounts));
        assertThat(invalid.problems().stream().map(SettingsProblem::path).toList()).contains(key);
        assertThat(invalid.problems().getFirst().line()).isEqualTo(9);
    }

    /**
     * Guards against shared state that is in force at a site whose operators did not ask for it.
     */
    @Test
    void sharedStateIsOffUnlessSet() throws IOException {
        SiteSettings absent = ((SiteSettingsReader.Result.Valid) read(ENTRY)).settings();
        assertThat(absent.sharedState()).isEmpty();
        SiteSettings stated =
                ((SiteSettingsReader.Result.Valid)
                                read(withSharedState("{ \"entriesPerSlot\": 6 }")))
                        .settings();
        assertThat(stated.sharedState()).hasValue(new SiteSettings.SharedState(6, false));
        SiteSettings ordered =
                ((SiteSettingsReader.Result.Valid)
                                read(
                                        withSharedState(
                                                "{ \"entriesPerSlot\": 6, \"queueOrder\": true }")))
                        .settings();
        assertThat(ordered.sharedState()).hasValue(new SiteSettings.SharedState(6, true));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{ \"entriesPerSlot\": 0 } | sharedState.entriesPerSlot | from 1 to 1000",
                "{ \"entriesPerSlot\": 1001 } | sharedState.entriesPerSlot | from 1 to 1000",
                "{ \"entriesPerSlot\": 4.5 } | sharedState.entriesPerSlot | a whole number",
                "{ \"entriesPerSlot\": \"4\" } | sharedState.entriesPerSlot | a whole number",
                "{} | sharedState.entriesPerSlot | is missing; give a whole number",
                "{ \"entries\": 4 } | sharedState.entries | is not known",
                "4 | sharedState | must be an object in braces",
            })
    void badSettingsOfSharedStateStateLocationAndRemedy(String section, String path, String remedy)
            throws IOException {
        SiteSettingsReader.Result.Invalid invalid =
                (SiteSettingsReader.Result.Invalid) read(withSharedState(section));
        SettingsProblem problem =
                invalid.problems().stream()
                        .filter(each -> each.path().equals(path))
                        .findFirst()
                        .orElseThrow();
        assertThat(problem.line()).isEqualTo(9);
        assertThat(problem.message()).contains(remedy);
    }

    private static String withSharedState(String section) {
        return ENTRY.replace(
                "\"stopSeconds\"", "\"sharedState\": " + section + ", \"stopSeconds\"");
    }

    /** A site that does not say waits for its callers as before. */
    @Test
    void withoutBoundsOnUnreadResponsesNoneAreHeld() throws IOException {
        SiteSettings settings = ((SiteSettingsReader.Result.Valid) read(ENTRY)).settings();
        assertThat(settings.unreadResponses()).isEmpty();
    }

    @Test
    void readsBoundsOnUnreadResponses() throws IOException {
        String text = ENTRY.replace("\"stopSeconds\"", UNREAD);
        SiteSettings settings = ((SiteSettingsReader.Result.Valid) read(text)).settings();
        assertThat(settings.unreadResponses()).hasValue(new UnreadRule(1_048_576, 16_777_216));
    }

    /** Guards against a default that leaves no heap beside the bytes that callers do not read. */
    @Test
    void withoutABoundOnBodiesItIsAShareOfTheHeap() throws IOException {
        long heapBytes = Runtime.getRuntime().maxMemory();
        SiteSettings settings = ((SiteSettingsReader.Result.Valid) read(ENTRY)).settings();
        assertThat(settings.bodyMemory()).isEqualTo(BodyMemoryRule.ofHeap(heapBytes, 0));
        String unread = ENTRY.replace("\"stopSeconds\"", UNREAD);
        settings = ((SiteSettingsReader.Result.Valid) read(unread)).settings();
        assertThat(settings.bodyMemory()).isEqualTo(BodyMemoryRule.ofHeap(heapBytes, 16_777_216));
    }

    @Test
    void readsABoundOnBodies() throws IOException {
        SiteSettings settings =
                ((SiteSettingsReader.Result.Valid) read(bodies("20000000"))).settings();
        assertThat(settings.bodyMemory()).isEqualTo(new BodyMemoryRule(20_000_000));
    }

    /** Guards against a start with a bound that the heap cannot bear or that takes no body. */
    @ParameterizedTest
    @ValueSource(strings = {"1000", "2147483648", "\"9MiB\""})
    void aBadBoundOnBodiesIsNamed(String bytes) throws IOException {
        SiteSettingsReader.Result.Invalid invalid =
                (SiteSettingsReader.Result.Invalid) read(bodies(bytes));
        assertThat(invalid.problems().getFirst().path()).isEqualTo("requestBodies.totalBytes");
    }

    private static String bodies(String bytes) {
        return ENTRY.replace(
                "\"stopSeconds\"",
                "\"requestBodies\": {\"totalBytes\": " + bytes + "}, \"stopSeconds\"");
    }

    /** A bound that is missing, too small or contradictory is named, and what to give instead. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1048576 | 1 | unreadResponses.callerBytes | from 65536",
                "16777216 | 4194304 | unreadResponses.totalBytes | from 5242880",
                "1048576 | 16777217 | unreadResponses.totalBytes | at least 16777217",
                "1048576 | \"1MiB\" | unreadResponses.callerBytes | whole number of bytes",
                "totalBytes | allBytes | unreadResponses.totalBytes | is missing; give",
                "totalBytes | allBytes | unreadResponses.allBytes | is not known",
            })
    void badBoundsOnUnreadResponsesAreNamed(
            String text, String replacement, String key, String remedy) throws IOException {
        String unread = UNREAD.replace(text, replacement);
        assertThat(unread).isNotEqualTo(UNREAD);
        SiteSettingsReader.Result.Invalid invalid =
                (SiteSettingsReader.Result.Invalid) read(ENTRY.replace("\"stopSeconds\"", unread));
        SettingsProblem problem =
                invalid.problems().stream()
                        .filter(found -> found.path().equals(key))
                        .findFirst()
                        .orElseThrow();
        assertThat(problem.line()).isEqualTo(9);
        assertThat(problem.toString()).contains(remedy);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"ratio\": 0.2 | \"ratio\": \"much\" | 8 | retries.ratio",
                "\"zone\": \"a\", | | 3 | zone",
                "\"10.1.0.3:8000\" | \"10.1.0.3\" | 6 | seeds",
                "\"10.1.0.2:8002\" | \"front:8002\" | 7 | entry.ready",
                "\"stopSeconds\": 8 | \"stopSeconds\": 0 | 9 | stopSeconds",
                "\"stopSeconds\" | \"stopMinutes\" | 9 | stopMinutes",
                "\"entry\" | \"voter\" | 7 | voter.operators",
            })
    void aBadFileIsNamedByLineAndKey(String text, String replacement, int line, String key)
            throws IOException {
        String bad = ENTRY.replace(text, replacement == null ? "" : replacement);
        SiteSettingsReader.Result.Invalid invalid = (SiteSettingsReader.Result.Invalid) read(bad);
        assertThat(invalid.problems().stream().map(SettingsProblem::path).toList()).contains(key);
        if (line != 3) {
            assertThat(invalid.problems().stream().map(SettingsProblem::line).toList())
                    .contains(line);
        }
    }

    private SiteSettingsReader.Result read(String text) throws IOException {
        Path file = mFolder.resolve("settings.json");
        Files.writeString(file, text);
        return SiteSettingsReader.read(file);
    }
}
