/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import java.util.List;

/** What reading a settings file yields. Immutable. */
public sealed interface SettingsResult {
    /**
     * The file is sound.
     *
     * @param settings the settings
     * @param warnings what an operator should look at, for example a secret that others can read
     */
    record Valid(Settings settings, List<SettingsProblem> warnings) implements SettingsResult {}

    /**
     * The file has errors.
     *
     * @param problems all of them, in the order of the file
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {}
}
