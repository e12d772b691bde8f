/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.settings.SettingsProblem;
import org.orchidmount.settings.SiteSettings;
import org.orchidmount.settings.SiteSettingsReader;

/**
 * Reads the settings file again when a signal says so or the file has changed.
 *
 * <p>Invariant: a file that cannot be read or is invalid changes nothing; the problems are logged.
 * Thread-safe.
 */
public final class SettingsWatch {
    private static final PartLog LOG = PartLog.of("settings");

    /** Pause between two looks at the settings file. */
    private static final Duration POLL = Duration.ofSeconds(1);

    private final Path mFile;
    private final Consumer<SiteSettings> mListener;
    private final Semaphore mSignals = new Semaphore(0);
    private FileTime mReadAt;

    /**
     * Begins to watch.
     *
     * @param file the settings file
     * @param listener takes settings that have changed
     */
    public SettingsWatch(Path file, Consumer<SiteSettings> listener) {
        mFile = file;
        mListener = listener;
        mReadAt = modifiedAt();
        StopSignals.installReload(mSignals::release);
        Thread.ofVirtual().name("settings").start(this::watch);
    }

    private void watch() {
        try {
            while (true) {
                boolean signalled = mSignals.tryAcquire(POLL.toMillis(), TimeUnit.MILLISECONDS);
                FileTime modifiedAt = modifiedAt();
                if (signalled || !modifiedAt.equals(mReadAt)) {
                    mSignals.drainPermits();
                    mReadAt = modifiedAt;
                    reload();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reload() {
        switch (SiteSettingsReader.read(mFile)) {
            case SiteSettingsReader.Result.Valid(SiteSettings settings) -> {
                LOG.info("reloaded, seeds are %s", settings.seeds());
                mListener.accept(settings);
            }
            case SiteSettingsReader.Result.Invalid(List<SettingsProblem> problems) ->
                    LOG.warn("not reloaded, the settings before stay in use: %s", problems);
        }
    }

    private FileTime modifiedAt() {
        try {
            return Files.getLastModifiedTime(mFile);
        } catch (IOException e) {
            LOG.warn("%s cannot be looked at: %s", mFile, e);
            return FileTime.fromMillis(0);
        }
    }
}
