/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import org.orchidmount.consensus.DurableState;
import org.orchidmount.consensus.EntryId;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.consensus.Member;

/** Creates the initial durable state of a voter with an empty disk. Stateless and thread-safe. */
final class InitialState {
    /**
     * Length of the random identifier that distinguishes a voter with a new disk from its
     * predecessor at the same address.
     */
    private static final int IDENTITY_BYTES = 8;

    private static final String FOUNDER_SUFFIX = "/first";

    private InitialState() {}

    /**
     * Returns the initial state: that of a founding member at the first start of the site, else
     * that of a replica without members, which receives its state from the group.
     */
    static DurableState of(VoterConfig config) {
        List<Member> founders =
                config.seeds().stream()
                        .map(
                                seed ->
                                        new Member(
                                                seed.address() + FOUNDER_SUFFIX,
                                                seed.address().toString(),
                                                seed.controlAddress()))
                        .toList();
        String founder = config.address() + FOUNDER_SUFFIX;
        boolean isFounder =
                config.firstStart()
                        && founders.stream().anyMatch(member -> member.id().equals(founder));
        if (isFounder) {
            GroupState state = new GroupState(founders, 0, new byte[0]);
            return new DurableState(founder, 0, "", new EntryId(0, 1), state);
        }
        byte[] identity = new byte[IDENTITY_BYTES];
        new SecureRandom().nextBytes(identity);
        return new DurableState(
                config.address() + "/" + HexFormat.of().formatHex(identity),
                0,
                "",
                EntryId.NONE,
                new GroupState(List.of(), 0, new byte[0]));
    }
}
