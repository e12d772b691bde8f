/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.Timing;
import org.orchidmount.junit.Await;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/**
 * What an entry hears of an upstream that starts again under its identity, from a real voter that
 * may have started again itself.
 *
 * <p>Seen: an entry held an upstream for gone whose new start had registered. How it comes about:
 * voter and entry keep departures by identity. And the other way about: an entry that knows which
 * start it uses takes no departure without a start, but a voter that has just started itself knows
 * no start, and a departure names only the identity. What proves it: the entry's state after each
 * message, with starts and without.
 */
final class RestartedUpstreamTest {
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final String ID = "i-1";
    private static final String MARK = "i-mark";

    @TempDir Path mFolder;
    private final Map<String, Registration> mSeen = new ConcurrentHashMap<>();
    private HostPort mAddress;
    private VoterNode mVoter;
    private EntryNode mEntry;

    @BeforeEach
    void start() throws IOException {
        mAddress = freeAddress();
        mVoter = voter();
        mEntry = entry();
    }

    @AfterEach
    void stop() {
        mEntry.close();
        mVoter.close();
    }

    @Test
    void theNextStartIsUsedAfterADepartureAndLateMessagesChangeNothing() {
        register(engine(10, 900));
        awaitSeen(10, State.READY);
        leave();
        awaitSeen(10, State.GONE);
        register(engine(11, 1));
        awaitSeen(11, State.READY);
        register(engine(10, 901));
        register(engine(10, 902).withState(State.DRAINING));
        register(mark());
        Await.until("the mark", LONGEST, () -> mSeen.containsKey(MARK));
        assertThat(isSeen(11, State.READY)).isTrue();
    }

    @Test
    void aDepartureEndsWhatAnEntryKnowsOfWhichTheVoterKnowsNothing() throws IOException {
        register(engine(10, 900));
        awaitSeen(10, State.READY);
        mVoter.close();
        mVoter = voter();
        leave();
        awaitSeen(10, State.GONE);
        register(engine(11, 1));
        awaitSeen(11, State.READY);
    }

    /** The same, if the entry is linked again only after the departure. */
    @Test
    void anEntryThatWasAwayLearnsOfADepartureOfWhichTheVoterKnowsNothing() throws IOException {
        register(engine(10, 900));
        awaitSeen(10, State.READY);
        mVoter.close();
        mAddress = freeAddress();
        mVoter = voter();
        leave();
        mEntry.addSeeds(List.of(mAddress));
        awaitSeen(10, State.GONE);
    }

    /**
     * What a voter of an earlier version repeats may be of an earlier start; a departure that it
     * has just received is not.
     */
    @Test
    void aDepartureWithoutAStartEndsTheOneKnownOnlyIfItWasJustReceived() throws IOException {
        mEntry.close();
        mVoter.close();
        mAddress = freeAddress();
        StandInVoter earlier = new StandInVoter();
        Greeting greeting =
                new Greeting(
                        VoterNode.PROTOCOL,
                        "earlier",
                        "a",
                        new Member("earlier", mAddress.toString(), mAddress.toString()));
        try (LinkServer _ = new LinkServer(mAddress, greeting, earlier);
                EntryNode _ = entry()) {
            Registration gone =
                    engine(10, 900)
                            .withIncarnation(Incarnation.ofUnknownStart(ID))
                            .withState(State.GONE);
            earlier.send(new Registrations(0, List.of(engine(10, 1))));
            awaitSeen(10, State.READY);
            earlier.send(new Registrations(0, List.of(gone, mark())));
            Await.until("the mark", LONGEST, () -> mSeen.containsKey(MARK));
            assertThat(isSeen(10, State.READY)).isTrue();
            earlier.send(new Registrations(1, List.of(gone)));
            awaitSeen(10, State.GONE);
        }
    }

    /** Sends what a voter would, once an entry has linked. */
    private static final class StandInVoter implements Link.Handler {
        private final CompletableFuture<Link> mEntry = new CompletableFuture<>();

        @Override
        public void received(Link link, ClusterMessage message) {
            mEntry.complete(link);
        }

        @Override
        public void closed(Link link) {}

        void send(ClusterMessage message) {
            mEntry.orTimeout(LONGEST.toSeconds(), TimeUnit.SECONDS).join().send(message);
        }
    }

    private void register(Registration registration) {
        Await.until("held", LONGEST, () -> isTrue(mVoter.register(registration)));
    }

    private void leave() {
        Await.until("held as gone", LONGEST, () -> isTrue(mVoter.deregister(ID)));
    }

    private static boolean isTrue(CompletableFuture<Boolean> asked) {
        return asked.completeOnTimeout(false, 800, TimeUnit.MILLISECONDS).join();
    }

    private void awaitSeen(long startMillis, State state) {
        String what = ID + " of " + startMillis + " is " + state;
        Await.until(what, LONGEST, () -> isSeen(startMillis, state));
    }

    private boolean isSeen(long startMillis, State state) {
        Registration seen = mSeen.get(ID);
        return seen != null
                && seen.incarnation().equals(Incarnation.startedAt(ID, startMillis))
                && seen.state() == state;
    }

    private static Registration engine(long startMillis, long sequence) {
        Incarnation incarnation = Incarnation.startedAt(ID, startMillis);
        return new Registration(
                incarnation, "s", "10.0.0.9:80", "a", 4, Stage.DECODE, State.READY, sequence);
    }

    /** Registered last, so that all before has arrived once it is seen. */
    private static Registration mark() {
        return new Registration(MARK, "s", "10.0.0.8:80", "a", 4, Stage.NONE, State.READY, 1);
    }

    private EntryNode entry() {
        EntryNode.Listener listener =
                new EntryNode.Listener() {
                    @Override
                    public void onRegistration(Registration registration) {
                        mSeen.put(registration.id(), registration);
                    }

                    @Override
                    public void onSequence(InFlightSequence sequence) {}
                };
        return new EntryNode(
                "entry",
                "a",
                List.of(mAddress),
                document -> {
                    throw new IllegalArgumentException("there is no table");
                },
                listener,
                new SystemMonotonicClock());
    }

    private static HostPort freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }

    private VoterNode voter() throws IOException {
        VoterConfig.StageOrderConfig stages =
                new VoterConfig.StageOrderConfig(
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(1),
                        0.33,
                        (order, held, statements) -> StageOrderClient.Result.REFUSED);
        return VoterNode.start(
                new VoterConfig(
                        "voter",
                        "a",
                        mAddress,
                        mAddress.toString(),
                        List.of(new VoterConfig.Seed(mAddress, mAddress.toString())),
                        true,
                        mFolder.resolve("voter-" + mAddress.port()),
                        0,
                        Timing.defaults(),
                        stages),
                new SystemMonotonicClock());
    }
}
