/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.consensus.DurableState;
import org.orchidmount.consensus.EntryId;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.consensus.Member;

/** Tests {@code StateFile}. */
final class StateFileTest {
    @TempDir Path mFolder;

    @Test
    void newestStateIsReadAgain() throws IOException {
        StateFile file = StateFile.open(mFolder);
        assertThat(file.read()).isEmpty();
        for (long index = 1; index <= 5; index++) {
            file.write(state(index));
        }
        assertThat(StateFile.open(mFolder).read()).hasValue(state(5));
    }

    @Test
    void aTornWriteLeavesTheStateBefore() throws IOException {
        StateFile file = StateFile.open(mFolder);
        file.write(state(1));
        file.write(state(2));
        Path newest = mFolder.resolve("replica-b.state");
        byte[] whole = Files.readAllBytes(newest);
        for (int length = 0; length < whole.length; length++) {
            Files.write(newest, Arrays.copyOf(whole, length));
            assertThat(StateFile.open(mFolder).read()).hasValue(state(1));
        }
        whole[whole.length - 1] ^= 1;
        Files.write(newest, whole);
        assertThat(StateFile.open(mFolder).read()).hasValue(state(1));
    }

    @Test
    void writingGoesOnAfterATornWrite() throws IOException {
        StateFile file = StateFile.open(mFolder);
        file.write(state(1));
        file.write(state(2));
        Files.write(mFolder.resolve("replica-b.state"), new byte[3]);
        StateFile again = StateFile.open(mFolder);
        again.read();
        again.write(state(3));
        assertThat(StateFile.open(mFolder).read()).hasValue(state(3));
    }

    private static DurableState state(long index) {
        Member member = new Member("a/first", "10.0.0.1:1", "10.0.0.1:2");
        byte[] document = ("{\"version\":" + index + "}").getBytes();
        return new DurableState(
                "a/first",
                3,
                "b/first",
                new EntryId(3, index),
                new GroupState(List.of(member), index, document));
    }
}
