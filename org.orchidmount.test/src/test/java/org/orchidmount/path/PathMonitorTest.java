/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.ConnectionPaths.TunnelResult;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.junit.Await;

/** When an instance finds that its direct path is lost, and when it is back. */
final class PathMonitorTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final List<Peer> UPSTREAMS =
            List.of(
                    new Peer("u-1", "10.0.0.1", 80),
                    new Peer("u-2", "10.0.0.2", 80),
                    new Peer("u-3", "10.0.0.3", 80));
    private static final TunnelPeer HELPER = new TunnelPeer("front-2", "a", "10.0.1.2", 90, "t");

    private final SystemMonotonicClock mClock = new SystemMonotonicClock();
    private final Network mNetwork = new Network();
    private final Queue<ConnectionPath> mChanges = new ConcurrentLinkedQueue<>();
    private final TunnelPeers mPeers = new TunnelPeers("a", mClock, new SplittableRandom(1));
    private final PathMonitor mMonitor = new PathMonitor(mNetwork, mPeers, mClock);

    PathMonitorTest() {
        mMonitor.setListener(
                new PathListener() {
                    @Override
                    public void pathChanged(ConnectionPath path, boolean isSilent) {
                        mChanges.add(path);
                    }

                    @Override
                    public void directlySilent(long sinceNanos) {}
                });
    }

    @AfterEach
    void close() {
        mMonitor.close();
    }

    /** Upstreams that are reached directly, and through others, as a test sets it. */
    private static final class Network implements PathNetwork {
        private final Set<Peer> mConnected = ConcurrentHashMap.newKeySet();
        private final AtomicInteger mAttempts = new AtomicInteger();
        private final Queue<Peer> mGivenUp = new ConcurrentLinkedQueue<>();
        private volatile boolean mTunnels = true;
        private final Set<Peer> mFull = ConcurrentHashMap.newKeySet();

        private Network() {
            mConnected.addAll(UPSTREAMS);
        }

        @Override
        public List<Peer> sample(int most) {
            return UPSTREAMS.subList(0, Math.min(most, UPSTREAMS.size()));
        }

        @Override
        public Attempt connect(Peer upstream, Duration timeout, boolean isForced) {
            if (mFull.contains(upstream) && !isForced) {
                return Attempt.NOT_MADE;
            }
            mAttempts.incrementAndGet();
            return mConnected.contains(upstream) ? Attempt.CONNECTED : Attempt.FAILED;
        }

        @Override
        public boolean tunnels(Peer upstream) {
            return mTunnels;
        }

        @Override
        public void giveUpDirect(Peer upstream, long sinceNanos) {
            mGivenUp.add(upstream);
        }
    }

    private void failAll() {
        UPSTREAMS.forEach(upstream -> mMonitor.dialled(upstream, false));
    }

    private void awaitPath(ConnectionPath path) {
        Await.until("path " + path, LONGEST, () -> mMonitor.current() == path);
    }

    /** Guards against an instance that goes on dialling what only others can reach. */
    @Test
    void connectionsThatFailFromHereOnlyLeadToTunnels() {
        mNetwork.mConnected.clear();
        failAll();
        awaitPath(ConnectionPath.TUNNEL);
        mNetwork.mConnected.addAll(UPSTREAMS);
        awaitPath(ConnectionPath.DIRECT);
        // The listener is called after the path has changed.
        Await.until("two changes", LONGEST, () -> mChanges.size() == 2);
        assertThat(mChanges)
                .containsExactly(ConnectionPath.TUNNEL, ConnectionPath.DIRECT)
                .inOrder();
    }

    /** Guards against requests that wait where no instance can help. */
    @Test
    void whatNobodyReachesIsNoPath() {
        mNetwork.mConnected.clear();
        mNetwork.mTunnels = false;
        failAll();
        awaitPath(ConnectionPath.NONE);
        mNetwork.mTunnels = true;
        awaitPath(ConnectionPath.TUNNEL);
    }

    /** Guards against one upstream that is down being taken for a lost path. */
    @Test
    void oneUpstreamThatIsDownIsNotVerified() {
        mMonitor.dialled(UPSTREAMS.getFirst(), false);
        mMonitor.dialled(UPSTREAMS.getFirst(), false);
        mMonitor.awaitVerified();
        assertThat(mNetwork.mAttempts.get()).isEqualTo(0);
        assertThat(mMonitor.current()).isEqualTo(ConnectionPath.DIRECT);
    }

    /** Guards against a path that is given up though one upstream is reached. */
    @Test
    void aPathThatReachesOneUpstreamIsKept() {
        mNetwork.mConnected.removeAll(UPSTREAMS.subList(1, UPSTREAMS.size()));
        failAll();
        mMonitor.awaitVerified();
        assertThat(mNetwork.mAttempts.get()).isGreaterThan(0);
        assertThat(mMonitor.current()).isEqualTo(ConnectionPath.DIRECT);
    }

    /** Guards against a cut without resets, which breaks no connection. */
    @Test
    void silenceOfAllUpstreamsIsVerified() {
        mNetwork.mConnected.clear();
        Await.until(
                "silent",
                LONGEST,
                () -> {
                    mMonitor.silent(UPSTREAMS.getFirst());
                    return mMonitor.current() == ConnectionPath.TUNNEL;
                });
    }

    /** Guards against more connections than upstreams accept, and against a cut unseen for that. */
    @Test
    void upstreamsWithoutRoomAreTriedOnlyAfterLongSilence() {
        mNetwork.mConnected.clear();
        mNetwork.mFull.addAll(UPSTREAMS);
        mMonitor.heard(UPSTREAMS.getFirst());
        failAll();
        mMonitor.awaitVerified();
        assertThat(mNetwork.mAttempts.get()).isEqualTo(0);
        assertThat(mMonitor.current()).isEqualTo(ConnectionPath.DIRECT);
        Await.until(
                "tried",
                LONGEST,
                () -> {
                    mMonitor.silent(UPSTREAMS.getFirst());
                    return mMonitor.current() == ConnectionPath.TUNNEL;
                });
    }

    /** Guards against a verdict on all upstreams by the failure of the only one with room. */
    @Test
    void oneFailureIsNoVerdictOnUpstreamsWithoutRoom() {
        mNetwork.mFull.addAll(UPSTREAMS.subList(1, UPSTREAMS.size()));
        mNetwork.mConnected.clear();
        mNetwork.mTunnels = false;
        mMonitor.heard(UPSTREAMS.getFirst());
        failAll();
        Await.until("tried", LONGEST, () -> mNetwork.mAttempts.get() > 0);
        mMonitor.awaitVerified();
        assertThat(mMonitor.current()).isEqualTo(ConnectionPath.DIRECT);
    }

    /** Guards against calm traffic that costs connection attempts. */
    @Test
    void silenceOfOneCallIsNotVerifiedWhileOthersAreAnswered() {
        mMonitor.heard(UPSTREAMS.getFirst());
        mMonitor.silent(UPSTREAMS.getFirst());
        mMonitor.awaitVerified();
        assertThat(mNetwork.mAttempts.get()).isEqualTo(0);
    }

    /** Guards against requests that are sent on silent connections to some of the upstreams. */
    @Test
    void aSilentUpstreamThatOnlyOthersReachIsGivenUp() {
        Peer silent = UPSTREAMS.getFirst();
        mNetwork.mConnected.remove(silent);
        mMonitor.heard(UPSTREAMS.getLast());
        mMonitor.silent(silent);
        Await.until("given up", LONGEST, () -> mNetwork.mGivenUp.contains(silent));
        assertThat(mMonitor.current()).isEqualTo(ConnectionPath.DIRECT);
    }

    /** Guards against an upstream that nobody reaches being taken for a lost path. */
    @Test
    void aSilentUpstreamThatNobodyReachesIsNotGivenUp() {
        Peer silent = UPSTREAMS.getFirst();
        mNetwork.mConnected.remove(silent);
        mNetwork.mTunnels = false;
        mMonitor.heard(UPSTREAMS.getLast());
        mMonitor.silent(silent);
        Await.until("looked", LONGEST, () -> mNetwork.mAttempts.get() > 0);
        assertThat(mNetwork.mGivenUp).isEmpty();
    }

    /** Guards against kept connections that break one after the other under requests. */
    @Test
    void connectionsToSeveralUpstreamsThatBreakPutThePathInDoubt() {
        mNetwork.mConnected.clear();
        UPSTREAMS.forEach(mMonitor::broken);
        awaitPath(ConnectionPath.TUNNEL);
    }

    /** Guards against a cut of a part of the upstreams being found by direct failures alone. */
    @Test
    void anUpstreamReachedThroughAnotherInstanceOnlyPutsThePathInDoubt() {
        mNetwork.mConnected.clear();
        mMonitor.tunnelled(UPSTREAMS.getFirst(), HELPER, TunnelResult.OPENED);
        awaitPath(ConnectionPath.TUNNEL);
    }

    /** Guards against asking an instance again and again that cannot help. */
    @ParameterizedTest
    @EnumSource(TunnelResult.class)
    void anInstanceThatRefusesIsAskedLast(TunnelResult result) {
        TunnelPeer other = new TunnelPeer("front-3", "b", "10.0.1.3", 90, "t");
        mPeers.update("voter", List.of(HELPER, other));
        assertThat(mMonitor.tunnelPeers(1)).containsExactly(HELPER);
        mMonitor.tunnelled(UPSTREAMS.getFirst(), HELPER, result);
        TunnelPeer first = result == TunnelResult.INSTANCE_REFUSED ? other : HELPER;
        assertThat(mMonitor.tunnelPeers(2).getFirst()).isEqualTo(first);
    }
}
