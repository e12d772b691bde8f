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

/**
 * The state of a voter whose disk is empty.
 *
 * <p>At the first start of a group its seeds are its founders, which all begin with the same entry
 * and the same members. Every other empty disk gets an identity that was never used: the voter must
 * not vote under the name of the one before, whose votes and entries are lost, and waits as a
 * learner to be added. Stateless.
 */
final class FirstState {
    /** Random bytes that tell a voter with a new disk from the one before. Chosen. */
    private static final int IDENTITY_BYTES = 8;

    private static final String FOUNDER = "/first";
    private static final GroupState NO_GROUP = new GroupState(List.of(), 0, new byte[0]);

    private FirstState() {}

    /**
     * Returns the state to begin with.
     *
     * @param config how the voter is set up
     * @return the state of a founder, or of a replica that is to be taught
     */
    static DurableState of(VoterConfig config) {
        List<Member> founders =
                config.seeds().stream()
                        .map(
                                seed ->
                                        new Member(
                                                seed.address() + FOUNDER,
                                                seed.address().toString(),
                                                seed.controlAddress()))
                        .toList();
        String founder = config.address() + FOUNDER;
        boolean founds =
                config.firstStart()
                        && founders.stream().anyMatch(member -> member.id().equals(founder));
        if (founds) {
            GroupState state = new GroupState(founders, 0, new byte[0]);
            return new DurableState(founder, 0, "", new EntryId(0, 1), state);
        }
        byte[] identity = new byte[IDENTITY_BYTES];
        new SecureRandom().nextBytes(identity);
        String self = config.address() + "/" + HexFormat.of().formatHex(identity);
        return new DurableState(self, 0, "", EntryId.NONE, NO_GROUP);
    }
}
