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
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.KeepAlive;
import org.orchidmount.cluster.ClusterMessage.RetryReply;
import org.orchidmount.cluster.ClusterMessage.RetryRequestMessage;
import org.orchidmount.consensus.Member;
import org.orchidmount.junit.Await;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Registration;
import org.orchidmount.retry.RetryAnswer;
import org.orchidmount.retry.RetryLimit;
import org.orchidmount.retry.RetryRequest;

/** Whom an entry asks for retries, by voters that answer as each case has it. */
final class EntryRetriesTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final RetryRequest ASK =
            new RetryRequest("s", new RetryLimit(0.2, Duration.ofSeconds(10), 40), 0, 1);

    private final List<LinkServer> mServers = new ArrayList<>();
    private EntryNode mEntry;

    @AfterEach
    void stop() {
        mEntry.close();
        mServers.forEach(LinkServer::close);
    }

    /** Starts a voter that gives one answer to all, or none, and counts the requests. */
    private HostPort voter(RetryAnswer answer, AtomicInteger requests) throws IOException {
        HostPort address;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new HostPort("127.0.0.1", socket.getLocalPort());
        }
        Link.Handler handler =
                new Link.Handler() {
                    @Override
                    public void received(Link link, ClusterMessage message) {
                        if (message instanceof RetryRequestMessage request) {
                            requests.incrementAndGet();
                            if (answer != null) {
                                link.send(new RetryReply(request.number(), answer, ""));
                            }
                        } else if (message instanceof Greeting) {
                            link.send(new KeepAlive());
                        }
                    }

                    @Override
                    public void closed(Link link) {}
                };
        Member member = new Member(address + "/first", address.toString(), address.toString());
        Greeting greeting =
                new Greeting(
                        VoterNode.PROTOCOL,
                        "voter",
                        "zone",
                        member,
                        EnumSet.of(Capability.RETRY_LIMIT));
        mServers.add(new LinkServer(address, greeting, handler));
        return address;
    }

    private RetryAnswer.Outcome ask() {
        CompletableFuture<RetryAnswer> answer = mEntry.retryOwner().request(ASK);
        answer.completeOnTimeout(RetryAnswer.NO_OWNER, 250, TimeUnit.MILLISECONDS);
        return answer.join().outcome();
    }

    /** Guards against an entry that takes a lost voter for one of an earlier build. */
    @Test
    void aLostVoterIsNotTakenForAnEarlierBuild() throws IOException {
        start(voter(RetryAnswer.GRANTED, new AtomicInteger()));
        Await.until("granted", LONGEST, () -> ask() == RetryAnswer.Outcome.GRANTED);
        mServers.forEach(LinkServer::close);
        for (int i = 0; i < 2_000; i++) {
            assertThat(ask()).isNotEqualTo(RetryAnswer.Outcome.UNSUPPORTED);
        }
    }

    private void start(HostPort voter) {
        mEntry =
                new EntryNode(
                        "entry",
                        "zone",
                        List.of(voter),
                        document -> null,
                        new EntryNode.Listener() {
                            @Override
                            public void onRegistration(Registration registration) {}

                            @Override
                            public void onSequence(InFlightSequence sequence) {}
                        },
                        new SystemMonotonicClock());
    }

    /** Guards against an entry that keeps asking a voter which reaches no leader. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anotherVoterIsAskedAfterOneWithoutALeader(boolean isSilent) throws IOException {
        AtomicInteger asked = new AtomicInteger();
        HostPort cutOff = voter(isSilent ? null : RetryAnswer.NO_OWNER, asked);
        start(cutOff);
        Await.until(
                "linked",
                LONGEST,
                () -> {
                    ask();
                    return asked.get() > 0;
                });
        HostPort leader = voter(RetryAnswer.GRANTED, new AtomicInteger());
        mEntry.addSeeds(List.of(leader));
        Await.until("granted", LONGEST, () -> ask() == RetryAnswer.Outcome.GRANTED);
    }
}
