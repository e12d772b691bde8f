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
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.KeepAlive;
import org.orchidmount.cluster.ClusterMessage.QuotaReply;
import org.orchidmount.cluster.ClusterMessage.QuotaRequestMessage;
import org.orchidmount.cluster.ClusterMessage.QuotaReturn;
import org.orchidmount.consensus.Member;
import org.orchidmount.junit.Await;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Registration;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaAnswer.Outcome;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;

/** Whom an entry asks for units of a limit, by voters that answer as each case has it. */
final class QuotaRequestsTest {
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final QuotaRequest ASK =
            new QuotaRequest("mill", new QuotaLimit(10, 20, 30, Duration.ofSeconds(8)), 1, 5);

    private final Queue<String> mSeen = new ConcurrentLinkedQueue<>();
    private final Queue<LinkServer> mServers = new ConcurrentLinkedQueue<>();
    private EntryNode mEntry;

    @AfterEach
    void stop() {
        mEntry.close();
        mServers.forEach(LinkServer::close);
    }

    private static HostPort freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Starts a voter that notes what it gets and answers requests as told. */
    private void voter(HostPort address, BiConsumer<Link, QuotaRequestMessage> answer)
            throws IOException {
        Member member = new Member(address + "/first", address.toString(), address.toString());
        Link.Handler handler =
                new Link.Handler() {
                    @Override
                    public void received(Link link, ClusterMessage message) {
                        if (message instanceof QuotaRequestMessage request) {
                            mSeen.add(address + (request.isOwnerSilent() ? " silent" : " asked"));
                            answer.accept(link, request);
                        } else if (message instanceof QuotaReturn units) {
                            mSeen.add(address + " back " + units.units());
                        } else if (message instanceof Greeting) {
                            keepAlive(link);
                        }
                    }

                    @Override
                    public void closed(Link link) {
                        mSeen.add(address + " closed");
                    }
                };
        Greeting greeting = new Greeting(VoterNode.PROTOCOL, "voter", "zone", member);
        mServers.add(new LinkServer(address, greeting, handler));
    }

    private static void keepAlive(Link link) {
        link.send(new KeepAlive());
    }

    private void entry(HostPort... voters) {
        mEntry =
                new EntryNode(
                        "entry",
                        "zone",
                        List.of(voters),
                        document -> null,
                        new EntryNode.Listener() {
                            @Override
                            public void onRegistration(Registration registration) {}

                            @Override
                            public void onSequence(InFlightSequence sequence) {}
                        },
                        new SystemMonotonicClock());
    }

    private Outcome take(Duration longest) {
        return mEntry.requestUnits(ASK)
                .completeOnTimeout(QuotaAnswer.NO_OWNER, longest.toMillis(), TimeUnit.MILLISECONDS)
                .join()
                .outcome();
    }

    private static QuotaReply reply(
            QuotaRequestMessage request, QuotaAnswer answer, HostPort owner) {
        return new QuotaReply(request.number(), answer, owner.toString());
    }

    /**
     * A voter of an earlier build counts for accounts; it is asked nothing that it may not know.
     */
    @Test
    void aVoterThatTellsNoCapabilityIsNotAskedToCount() throws IOException {
        HostPort owner = freeAddress();
        voter(owner, (link, request) -> link.send(reply(request, QuotaAnswer.GRANTED, owner)));
        entry(owner);
        Await.until("granted", LONGEST, () -> take(LONGEST) == Outcome.GRANTED);
        mSeen.clear();
        QuotaAnswer answer = mEntry.upstreamQuotaClient().requestUnits(ASK).join();
        assertThat(answer.outcome()).isEqualTo(Outcome.NO_OWNER);
        assertThat(mSeen).isEmpty();
    }

    /** Whoever is asked first, the owner that it names is asked, and from then on at once. */
    @Test
    void theOwnerThatAVoterNamesIsAsked() throws IOException {
        HostPort owner = freeAddress();
        HostPort other = freeAddress();
        voter(owner, (link, request) -> link.send(reply(request, QuotaAnswer.GRANTED, owner)));
        voter(other, (link, request) -> link.send(reply(request, QuotaAnswer.NO_OWNER, owner)));
        entry(owner, other);
        Await.until("granted", LONGEST, () -> take(LONGEST) == Outcome.GRANTED);
        mSeen.clear();
        assertThat(take(LONGEST)).isEqualTo(Outcome.GRANTED);
        assertThat(List.copyOf(mSeen)).containsExactly(owner + " asked");
    }

    /**
     * The leader stands still and the others have not noticed: they grant out of their reserve what
     * the entry tells them that the leader does not answer.
     */
    @Test
    void whileTheOwnerIsSilentAnotherVoterMayGrant() throws IOException {
        HostPort owner = freeAddress();
        HostPort other = freeAddress();
        voter(owner, (link, request) -> {});
        voter(
                other,
                (link, request) ->
                        link.send(
                                reply(
                                        request,
                                        request.isOwnerSilent()
                                                ? QuotaAnswer.GRANTED_OFFLINE
                                                : QuotaAnswer.NO_OWNER,
                                        owner)));
        entry(owner, other);
        Await.until(
                "granted without the lease",
                LONGEST,
                () -> take(Duration.ofMillis(20)) == Outcome.GRANTED_OFFLINE);
        assertThat(mSeen).contains(owner + " asked");
        assertThat(mSeen).contains(other + " silent");
    }

    /** The caller has given up; what is granted to it all the same goes back where it came from. */
    @Test
    void aGrantThatComesTooLateIsGivenBack() throws IOException {
        HostPort owner = freeAddress();
        CompletableFuture<Void> late = new CompletableFuture<>();
        voter(
                owner,
                (link, request) ->
                        late.thenRun(() -> link.send(reply(request, QuotaAnswer.GRANTED, owner))));
        entry(owner);
        Await.until(
                "asked",
                LONGEST,
                () -> {
                    take(Duration.ofMillis(20));
                    return mSeen.contains(owner + " asked") || mSeen.contains(owner + " silent");
                });
        late.complete(null);
        Await.until("given back", LONGEST, () -> mSeen.contains(owner + " back 5"));
    }

    /** A lost link ends no wait: what was asked there is asked of another voter. */
    @Test
    void whatALostVoterWasAskedIsAskedOfAnother() throws IOException {
        HostPort lost = freeAddress();
        HostPort other = freeAddress();
        voter(lost, (link, request) -> link.close());
        voter(other, (link, request) -> link.send(reply(request, QuotaAnswer.GRANTED, other)));
        entry(lost, other);
        Await.until("granted", LONGEST, () -> take(LONGEST) == Outcome.GRANTED);
    }

    @Test
    void withoutAnyVoterThereIsNoOwner() throws IOException {
        entry(freeAddress());
        assertThat(take(LONGEST)).isEqualTo(Outcome.NO_OWNER);
    }
}
