/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

import java.util.function.Predicate;

/**
 * Restricts which upstreams may run a request. Streams written by two software versions do not fit
 * together, so the rest of a stream may be written only by the version that wrote its first event.
 * Implementations are immutable.
 */
@FunctionalInterface
public interface VersionConstraint {
    /** Permits every upstream. */
    VersionConstraint ANY = upstream -> true;

    /**
     * Returns whether an upstream may run the request.
     *
     * @param upstream the registration of the upstream
     * @return true if it may
     */
    boolean permits(Registration upstream);

    /**
     * Permits the upstreams of one software version.
     *
     * @param version the version as upstreams state it
     * @return the constraint
     */
    static VersionConstraint version(String version) {
        return upstream -> upstream.version().filter(version::equals).isPresent();
    }

    /**
     * Permits the upstreams that can continue what an upstream has written: those of its software
     * version, or only its own incarnation if that version is not known.
     *
     * @param writer the registration of the upstream
     * @return the constraint
     */
    static VersionConstraint writtenBy(Registration writer) {
        Predicate<Registration> isWriter =
                upstream -> upstream.incarnation().equals(writer.incarnation());
        return writer.version().map(VersionConstraint::version).orElse(isWriter::test);
    }
}
