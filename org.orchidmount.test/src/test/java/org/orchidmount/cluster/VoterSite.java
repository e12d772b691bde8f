/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.consensus.Timing;
import org.orchidmount.junit.Await;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Registration;
import org.orchidmount.routes.RouteTableParser;

/** Voters and entries of one site in this process, without tables. Confined to one thread. */
final class VoterSite implements AutoCloseable {
    private static final Duration LONGEST = Duration.ofSeconds(20);

    private final Path mFolder;
    private final List<HostPort> mAddresses = new ArrayList<>();
    private final List<VoterNode> mVoters = new ArrayList<>();
    private final List<EntryNode> mEntries = new ArrayList<>();

    /** Starts voters for the first time. */
    VoterSite(Path folder, int voters) throws IOException {
        mFolder = folder;
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        }
        for (ServerSocket socket : sockets) {
            mAddresses.add(new HostPort("127.0.0.1", socket.getLocalPort()));
            socket.close();
        }
        for (int i = 0; i < voters; i++) {
            mVoters.add(start(i, true));
        }
    }

    private VoterNode start(int voter, boolean isFirst) throws IOException {
        Await.until("the port is free", LONGEST, () -> isFree(mAddresses.get(voter)));
        return VoterNode.start(config(voter, isFirst), new SystemMonotonicClock());
    }

    /** A listening socket that was closed in this process goes once its accepting thread wakes. */
    private static boolean isFree(HostPort address) {
        try (ServerSocket _ =
                new ServerSocket(address.port(), 1, InetAddress.getLoopbackAddress())) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private VoterConfig config(int voter, boolean isFirst) {
        List<VoterConfig.Seed> seeds =
                mAddresses.stream()
                        .map(address -> new VoterConfig.Seed(address, address.toString()))
                        .toList();
        return new VoterConfig(
                "voter-" + voter,
                "zone-" + voter,
                mAddresses.get(voter),
                mAddresses.get(voter).toString(),
                seeds,
                isFirst,
                folder(voter),
                1,
                Timing.defaults(),
                new VoterConfig.StageOrderConfig(
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(1),
                        0.33,
                        (order, held, statements) -> StageOrderClient.Result.REFUSED));
    }

    Path folder(int voter) {
        return mFolder.resolve("voter-" + voter);
    }

    List<VoterNode> voters() {
        return List.copyOf(mVoters);
    }

    List<EntryNode> entries() {
        return List.copyOf(mEntries);
    }

    HostPort address(int voter) {
        return mAddresses.get(voter);
    }

    /** Starts an entry. */
    EntryNode addEntry(String name) {
        return addEntry(
                name,
                "zone-0",
                document -> {
                    throw new IllegalArgumentException("there is no table here");
                });
    }

    /** Starts an entry that reads tables. */
    EntryNode addEntry(String name, String zone, RouteTableParser parser) {
        EntryNode entry =
                new EntryNode(
                        name, zone, mAddresses, parser, new Nothing(), new SystemMonotonicClock());
        mEntries.add(entry);
        return entry;
    }

    /** Ends an entry, with all that it knows. */
    void endEntry(EntryNode entry) {
        mEntries.remove(entry);
        entry.close();
    }

    /** Commits a table. */
    void putTable(long version, byte[] document) {
        Await.until(
                "table committed",
                LONGEST,
                () ->
                        mVoters.stream()
                                .map(voter -> voter.putTable(version, document))
                                .anyMatch(VoterSite::isAccepted));
    }

    private static boolean isAccepted(CompletableFuture<TableReply> asked) {
        return asked.completeOnTimeout(null, 800, TimeUnit.MILLISECONDS).join()
                instanceof TableReply.Accepted;
    }

    /** Ends a voter for good. */
    void endVoter(VoterNode voter) {
        mVoters.remove(voter);
        voter.close();
    }

    /** Ends a voter and starts it again with its disk. */
    void restartVoter(int voter) throws IOException {
        mVoters.get(voter).close();
        mVoters.set(voter, start(voter, false));
    }

    /** Ends all voters, lets something happen, and starts them again with their disks. */
    void restartVoters(Runnable meanwhile) throws IOException {
        mVoters.forEach(VoterNode::close);
        meanwhile.run();
        for (int i = 0; i < mVoters.size(); i++) {
            mVoters.set(i, start(i, false));
        }
    }

    /** Receives updates and does nothing. */
    static final class Nothing implements EntryNode.Listener {
        @Override
        public void onRegistration(Registration registration) {}

        @Override
        public void onSequence(InFlightSequence sequence) {}
    }

    @Override
    public void close() {
        mEntries.forEach(EntryNode::close);
        mVoters.forEach(VoterNode::close);
    }
}
