/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.orchidmount.consensus.DurableState;

/** File of a replica's durable state. Confined to one thread. */
final class StateFile {
    private static final String NAME = "replica";

    private final TwoSlotFile mFile;

    private StateFile(TwoSlotFile file) {
        mFile = file;
    }

    /** Opens the state in a folder, which is created if missing. */
    static StateFile open(Path folder) throws IOException {
        return new StateFile(TwoSlotFile.open(folder, NAME));
    }

    /**
     * Reads the newest intact state.
     *
     * @return the state, or empty if no file holds an intact one
     * @throws IOException if a file cannot be read or its state cannot be decoded
     */
    Optional<DurableState> read() throws IOException {
        Optional<byte[]> body = mFile.read();
        return body.isPresent()
                ? Optional.of(ClusterCodec.decodeState(body.get()))
                : Optional.empty();
    }

    /** Writes a state; returns once it is synced. */
    void write(DurableState state) throws IOException {
        mFile.write(ClusterCodec.encodeState(state));
    }
}
