/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.pacing.SimulatedUpstream.Defect;
import org.orchidmount.pacing.SimulatedUpstream.Outcome;
import org.orchidmount.pacing.SimulatedUpstream.Plan;
import org.orchidmount.pacing.SimulatedUpstream.Way;

/**
 * What an upstream gets of what it takes, and how much more, by who counts. Entries are few or
 * many, limits are of less than one request a second for each entry or of many. Further seeds by
 * {@code -Dorchidmount.pacing.seeds=N}.
 */
final class UpstreamLimitWaysTest {
    private static final int SEEDS = Integer.getInteger("orchidmount.pacing.seeds", 20);

    /** The worst window of all seeds, and the means of the rest. */
    private static Outcome play(Plan plan) throws InterruptedException {
        long most = 0;
        double used = 0;
        double messages = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Outcome outcome = new SimulatedUpstream(plan, seed).play();
            most = Math.max(most, outcome.most());
            used += outcome.usedShare() / SEEDS;
            messages += outcome.messagesPerSecond() / SEEDS;
        }
        Outcome sum = new Outcome(most, used, messages);
        System.out.println("pacing: " + plan + ": allowed " + allowed(plan) + ", " + sum);
        return sum;
    }

    private static double allowed(Plan plan) {
        return 1.5 * plan.perSecond() * SimulatedUpstream.WINDOW.toSeconds() + 5;
    }

    @ParameterizedTest
    @CsvSource({
        // requests a second, entries, requests that come for each that is taken
        "0.3, 8, 20",
        "3.6, 8, 5",
        "3.6, 42, 5",
        "3.6, 300, 20",
        "40, 8, 2",
        "40, 42, 5",
    })
    void oneOwnerKeepsTheLimitAndUsesIt(double perSecond, int entries, double load)
            throws InterruptedException {
        Plan plan = new Plan(Way.OWNER, Defect.NONE, perSecond, entries, load, false);
        Outcome outcome = play(plan);
        assertWithMessage("window").that((double) outcome.most()).isAtMost(allowed(plan));
        assertWithMessage("used").that(outcome.usedShare()).isAtLeast(0.8);
    }

    /** Nor more while owners change, entries are cut off from them, or start again. */
    @ParameterizedTest
    @CsvSource({
        "0, 8, 20",
        "0.3, 8, 20",
        "0.3, 300, 100",
        "3.6, 3, 5",
        "3.6, 8, 5",
        "3.6, 42, 5",
        "3.6, 300, 20",
        "40, 8, 2",
        "40, 42, 5",
    })
    void oneOwnerKeepsTheLimitThroughFaults(double perSecond, int entries, double load)
            throws InterruptedException {
        Plan plan = new Plan(Way.OWNER, Defect.NONE, perSecond, entries, load, true);
        Outcome outcome = play(plan);
        assertWithMessage("window").that((double) outcome.most()).isAtMost(allowed(plan));
    }

    /** Of the ways, only one owner keeps the limit of many entries under load and uses it. */
    @ParameterizedTest
    @CsvSource({
        // way, entries, requests that come for each that is taken, whether the limit is kept
        "OWNER,  8,  1.2, true",
        "EQUAL,  8,  1.2, true",
        "DEMAND, 8,  1.2, true",
        "EACH,   8,  1.2, true",
        "OWNER,  42, 1.2, true",
        "EQUAL,  42, 1.2, true",
        "DEMAND, 42, 1.2, true",
        "EACH,   42, 1.2, true",
        "OWNER,  8,  20,  true",
        "EQUAL,  8,  20,  true",
        "DEMAND, 8,  20,  true",
        "EACH,   8,  20,  false",
        "OWNER,  42, 20,  true",
        "EQUAL,  42, 20,  false",
        "DEMAND, 42, 20,  false",
        "EACH,   42, 20,  false",
    })
    void waysSideBySide(Way way, int entries, double load, boolean isKept)
            throws InterruptedException {
        Plan plan = new Plan(way, Defect.NONE, 3.6, entries, load, false);
        assertWithMessage("kept").that(play(plan).most() <= allowed(plan)).isEqualTo(isKept);
    }

    /** What is wrong in one of these ways is seen by the simulation. */
    @ParameterizedTest
    @CsvSource({"NO_LEASE, 3.6, 42", "WHOLE_ALONE, 3.6, 42"})
    void defectsAreSeen(Defect defect, double perSecond, int entries) throws InterruptedException {
        Plan plan = new Plan(Way.OWNER, defect, perSecond, entries, 5, true);
        assertWithMessage("window").that((double) play(plan).most()).isGreaterThan(allowed(plan));
    }
}
