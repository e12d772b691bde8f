/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.cluster.ClusterMessage.TunnelOffers;
import org.orchidmount.internal.http.TunnelPeer;

/** Which entries open tunnels for which others, and what telling them costs. */
final class TunnelSampleTest {
    /** The largest site that the system is designed for. */
    private static final int ENTRIES = 360;

    private static final int ZONES = 26;

    /** Restarts and losses of instances in a day at that size. */
    private static final int CHANGES_PER_DAY = 2_800 + 98;

    private static final int VOTERS = 7;
    private static final int SECONDS_PER_DAY = 86_400;

    /** What an entry may receive for control, in bytes a second. */
    private static final int CONTROL_BYTES_PER_SECOND = 7_000;

    private static List<TunnelPeer> offers(int entries, int zones) {
        List<TunnelPeer> offers = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            offers.add(
                    new TunnelPeer(
                            "front-zone-%d-%d".formatted(i % zones, i),
                            "zone-" + i % zones,
                            "10.0.%d.%d".formatted(i / 250, i % 250),
                            7_661,
                            "0123456789abcdef0123456789abcdef"));
        }
        return offers;
    }

    private static List<TunnelPeer> sampleOf(TunnelPeer entry, List<TunnelPeer> offers) {
        return TunnelSample.of(entry.node(), entry.zone(), offers);
    }

    /** Guards against a cut of a zone that takes all instances that could help. */
    @ParameterizedTest
    @CsvSource({"8, 3, 7", "2, 1, 1", "1, 1, 0", "40, 1, 8", "360, 26, 8"})
    void aSampleHasOtherInstancesOfOtherZones(int entries, int zones, int size) {
        List<TunnelPeer> offers = offers(entries, zones);
        for (TunnelPeer entry : offers) {
            List<TunnelPeer> sample = sampleOf(entry, offers);
            assertThat(sample).hasSize(size);
            assertThat(sample).doesNotContain(entry);
            boolean hasOtherZone =
                    sample.stream().anyMatch(peer -> !peer.zone().equals(entry.zone()));
            assertThat(hasOtherZone).isEqualTo(zones > 1);
        }
    }

    /** Guards against few instances that help all others. */
    @Test
    void everyInstanceHelpsAboutAsMany() {
        List<TunnelPeer> offers = offers(ENTRIES, ZONES);
        Map<String, Integer> helped = new HashMap<>();
        for (TunnelPeer entry : offers) {
            sampleOf(entry, offers).forEach(peer -> helped.merge(peer.node(), 1, Integer::sum));
        }
        assertThat(helped.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
                .isAtMost(4 * TunnelSample.SIZE);
    }

    /** Guards against announcements that cost more than control may cost at the largest size. */
    @Test
    void announcementsCostNearNothing() {
        List<TunnelPeer> offers = offers(ENTRIES, ZONES);
        Set<TunnelPeer> gone = new HashSet<>(offers.subList(0, 20));
        List<TunnelPeer> left = offers.stream().filter(each -> !gone.contains(each)).toList();
        long changed =
                left.stream()
                        .filter(entry -> !sampleOf(entry, offers).equals(sampleOf(entry, left)))
                        .count();
        int bytes =
                ClusterCodec.encode(new TunnelOffers(sampleOf(offers.getFirst(), offers))).length;
        // An instance leaves and comes back, and every voter tells those that it concerns.
        double messages = 2.0 * CHANGES_PER_DAY * VOTERS * changed / gone.size() / ENTRIES;
        double bytesPerSecond = messages * bytes / SECONDS_PER_DAY;
        System.out.printf(
                "tunnels: %d bytes a sample, %d samples changed by %d changes, %.1f bytes a second"
                        + " for each entry%n",
                bytes, changed, gone.size(), bytesPerSecond);
        assertThat(bytesPerSecond).isLessThan(CONTROL_BYTES_PER_SECOND / 100.0);
    }
}
