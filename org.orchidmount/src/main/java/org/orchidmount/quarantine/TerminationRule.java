/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.util.List;
import org.orchidmount.quarantine.TerminationProbe.Finding;

/**
 * Decides whether an upstream whose connections broke has terminated.
 *
 * <p>A refused connection tells that only if the path to the upstream is intact. An instance that
 * reaches other upstreams is a witness of this one; a witness that does not answer in time tells
 * nothing. Stateless.
 */
public final class TerminationRule {
    private TerminationRule() {}

    /**
     * What another instance finds.
     *
     * @param upstream what it finds of the upstream in question
     * @param reachesOthers whether it connects to another upstream
     */
    public record Witness(Finding upstream, boolean reachesOthers) {}

    /**
     * What is known beside this instance's own finding.
     *
     * @param witnesses what other instances find
     * @param hasOthers whether other upstreams are known
     * @param reachesOthers whether this instance connects to one of them directly
     */
    public record Circumstances(List<Witness> witnesses, boolean hasOthers, boolean reachesOthers) {
        /** The circumstances of an instance that knows no other instances. */
        public static final Circumstances UNKNOWN = new Circumstances(List.of(), false, false);

        /** Copies the list of witnesses. */
        public Circumstances {
            witnesses = List.copyOf(witnesses);
        }
    }

    /**
     * Decides.
     *
     * @param own what this instance finds of the upstream
     * @param circumstances what is known beside that
     * @return true only if it has terminated as far as can be known from here
     */
    public static boolean hasTerminated(Finding own, Circumstances circumstances) {
        List<Witness> witnesses = circumstances.witnesses();
        boolean isListening =
                own == Finding.LISTENS
                        || witnesses.stream().anyMatch(each -> each.upstream() == Finding.LISTENS);
        if (isListening) {
            return false;
        }
        boolean isWitnessed =
                witnesses.stream()
                        .anyMatch(each -> each.upstream() == Finding.ENDED && each.reachesOthers());
        boolean isPathIntact = circumstances.reachesOthers() || !circumstances.hasOthers();
        return isWitnessed || own == Finding.ENDED && isPathIntact;
    }
}
