/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;

/** Logs the registrations of upstreams at a voter. Stateless and thread-safe. */
final class RegistrationLog {
    private static final PartLog LOG = PartLog.of("voter");

    private RegistrationLog() {}

    /** Logs a new or changed registration. */
    static void changed(Registration changed) {
        LOG.info(
                "upstream %s of service %s at %s is %s, stage %s, version %s, sequence %d",
                changed.id(),
                changed.service(),
                changed.address(),
                changed.state(),
                changed.stage(),
                changed.version().orElse("unknown"),
                changed.sequence());
    }
}
