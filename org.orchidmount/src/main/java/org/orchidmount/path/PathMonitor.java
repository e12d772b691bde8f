/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.ConnectionPaths;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.path.PathNetwork.Attempt;

/**
 * Determines whether this instance reaches the upstreams directly, through other instances, or not
 * at all.
 *
 * <p>Nothing is sent while connections succeed and upstreams respond. Failing or silent connections
 * put the path in doubt; it is then verified by connection attempts to a few upstreams, and {@link
 * PathRule} decides. While the direct path is lost, it is probed by one attempt at a time.
 *
 * <p>Invariant: at most one thread verifies or probes; the path changes on that thread only.
 * Thread-safe.
 */
public final class PathMonitor implements ConnectionPaths, AutoCloseable {
    private static final PartLog LOG = PartLog.of("path");

    /** Upstreams that are tried to verify the path. */
    private static final int SAMPLE = 3;

    /** Far longer than a round trip within a site. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** Interval between two verifications if the first found the path to be well. */
    private static final Duration VERIFY_INTERVAL = Duration.ofMillis(500);

    /** Interval between two probes of a lost path. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(300);

    /** Bounds the wait of a request while the path is verified. */
    private static final Duration MAX_HOLD = Duration.ofMillis(250);

    private final PathNetwork mNetwork;
    private final TunnelPeers mPeers;
    private final MonotonicClock mClock;
    private final SilentUpstreams mSilent;
    private final Map<Peer, Boolean> mFailing = new ConcurrentHashMap<>();
    private final AtomicBoolean mIsBusy = new AtomicBoolean();
    private final AtomicInteger mChanges = new AtomicInteger();
    private final AtomicInteger mVerifications = new AtomicInteger();
    private final AtomicInteger mProbes = new AtomicInteger();
    private volatile PathListener mListener;
    private volatile ConnectionPath mPath = ConnectionPath.DIRECT;
    private volatile CompletableFuture<Void> mVerified = CompletableFuture.completedFuture(null);
    private volatile boolean mHasTunnelFailed;
    private volatile boolean mIsClosed;
    private volatile long mVerifiedNanos;
    private volatile long mChangedNanos;

    /**
     * Creates a monitor of an instance whose path is direct.
     *
     * @param network makes connection attempts
     * @param peers the instances that open tunnels
     * @param clock the clock
     */
    public PathMonitor(PathNetwork network, TunnelPeers peers, MonotonicClock clock) {
        mNetwork = network;
        mPeers = peers;
        mClock = clock;
        mSilent = new SilentUpstreams(clock);
        mChangedNanos = clock.nanoTime();
        mVerifiedNanos = mChangedNanos - VERIFY_INTERVAL.toNanos();
    }

    /**
     * Sets the listener; called before the monitor is used.
     *
     * @param listener receives changes of the path
     */
    public void setListener(PathListener listener) {
        mListener = listener;
    }

    @Override
    public ConnectionPath current() {
        return mPath;
    }

    @Override
    public Duration sinceChange() {
        return Duration.ofNanos(mClock.nanoTime() - mChangedNanos);
    }

    @Override
    public List<TunnelPeer> tunnelPeers(int most) {
        return mPeers.candidates(most);
    }

    @Override
    public void dialled(Peer upstream, boolean isConnected) {
        if (isConnected) {
            mSilent.heardAny();
            mFailing.clear();
        } else {
            failing(upstream);
        }
    }

    @Override
    public void broken(Peer upstream) {
        failing(upstream);
    }

    private void failing(Peer upstream) {
        mFailing.put(upstream, true);
        if (mPath == ConnectionPath.DIRECT && isVerificationDue()) {
            int known = mNetwork.sample(SAMPLE).size();
            if (PathRule.isInDoubt(mFailing.size(), known)) {
                verify("no connection to %d upstreams".formatted(mFailing.size()));
            }
        }
    }

    @Override
    public void tunnelled(Peer upstream, TunnelPeer through, TunnelResult result) {
        if (result == TunnelResult.INSTANCE_REFUSED) {
            mPeers.refused(through);
        } else {
            mPeers.opened(through);
        }
        mHasTunnelFailed = result != TunnelResult.OPENED;
        boolean isFromHere = result == TunnelResult.OPENED && !mIsBusy.get();
        if (isFromHere && mPath == ConnectionPath.DIRECT) {
            verify("%s is reached through %s only".formatted(upstream.name(), through.node()));
        }
    }

    @Override
    public void responded(Peer upstream, Duration took) {
        mSilent.responded(took);
        mSilent.heard(upstream);
    }

    @Override
    public void heard(Peer upstream) {
        mSilent.heard(upstream);
    }

    @Override
    public void silent(Peer upstream) {
        if (mPath != ConnectionPath.DIRECT) {
            return;
        }
        if (mSilent.areAllSilent()) {
            verify("no upstream responds");
        } else if (mSilent.tryBeginProbe(upstream)) {
            Thread.ofVirtual().name("path-probe").start(() -> probeSilent(upstream));
        }
    }

    /** Gives up the direct connections to a silent upstream that only other instances reach. */
    private void probeSilent(Peer upstream) {
        long sinceNanos = mSilent.silentSinceNanos();
        mProbes.incrementAndGet();
        try {
            Attempt attempt = mNetwork.connect(upstream, CONNECT_TIMEOUT, false);
            if (attempt == Attempt.FAILED && mNetwork.tunnels(upstream)) {
                LOG.info("silent upstream %s is reached through others only", upstream.name());
                mNetwork.giveUpDirect(upstream, sinceNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void awaitVerified() {
        CompletableFuture<Void> verified = mVerified;
        if (verified.isDone()) {
            return;
        }
        try {
            verified.get(MAX_HOLD.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            LOG.debug("the path is still in doubt");
        } catch (ExecutionException e) {
            throw new IllegalStateException("a verification ends without a result", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isVerificationDue() {
        return mClock.nanoTime() - mVerifiedNanos >= VERIFY_INTERVAL.toNanos() && !mIsBusy.get();
    }

    /** Verifies the path on a thread of its own, unless that is under way or was done just now. */
    private void verify(String reason) {
        if (!isVerificationDue() || mIsClosed || !mIsBusy.compareAndSet(false, true)) {
            return;
        }
        CompletableFuture<Void> verified = new CompletableFuture<>();
        mVerified = verified;
        Thread.ofVirtual().name("path").start(() -> verify(reason, verified));
    }

    private void verify(String reason, CompletableFuture<Void> verified) {
        try {
            mVerifications.incrementAndGet();
            List<Peer> sample = mNetwork.sample(SAMPLE);
            if (!sample.isEmpty()) {
                decide(reason, sample);
            }
            verified.complete(null);
            probeUntilRecovered();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            verified.complete(null);
            mVerifiedNanos = mClock.nanoTime();
            mIsBusy.set(false);
        }
    }

    private void decide(String reason, List<Peer> sample) throws InterruptedException {
        boolean isForced = mSilent.areAllSilentForLong();
        PathAttempts.Results direct =
                PathAttempts.make(sample, upstream -> connect(upstream, isForced));
        if (direct.successes() > 0) {
            mSilent.heardAny();
            mFailing.clear();
            return;
        }
        if (!PathRule.isInDoubt(direct.failures(), sample.size())) {
            return;
        }
        PathAttempts.Results tunnels = PathAttempts.make(sample, this::tunnel);
        change(
                PathRule.verdict(direct.successes(), tunnels.successes()),
                "%s; of %d upstreams tried, %d are reached directly and %d through other instances"
                        .formatted(
                                reason,
                                direct.failures(),
                                direct.successes(),
                                tunnels.successes()));
    }

    private Attempt connect(Peer upstream, boolean isForced) throws InterruptedException {
        return mNetwork.connect(upstream, CONNECT_TIMEOUT, isForced);
    }

    private Attempt tunnel(Peer upstream) {
        return mNetwork.tunnels(upstream) ? Attempt.CONNECTED : Attempt.FAILED;
    }

    private void change(ConnectionPath path, String reason) {
        Duration before = sinceChange();
        mPath = path;
        mChangedNanos = mClock.nanoTime();
        mChanges.incrementAndGet();
        mHasTunnelFailed = false;
        mFailing.clear();
        LOG.info("upstreams are reached by %s after %d ms: %s", path, before.toMillis(), reason);
        mListener.pathChanged(path, mSilent.areAllSilent());
    }

    /** Probes the direct path until it is back. */
    private void probeUntilRecovered() throws InterruptedException {
        while (mPath != ConnectionPath.DIRECT && !mIsClosed) {
            if (mPath == ConnectionPath.TUNNEL && mSilent.areAllSilent()) {
                mListener.directlySilent(mSilent.silentSinceNanos());
            }
            Thread.sleep(PROBE_INTERVAL);
            probe(mNetwork.sample(SAMPLE));
        }
    }

    private void probe(List<Peer> sample) throws InterruptedException {
        if (sample.isEmpty()) {
            return;
        }
        int connected =
                PathAttempts.make(sample.subList(0, 1), each -> connect(each, true)).successes();
        if (connected > 0) {
            List<Peer> others = sample.subList(1, sample.size());
            connected += PathAttempts.make(others, each -> connect(each, true)).successes();
        }
        if (PathRule.isRecovered(sample.size(), connected)) {
            change(
                    ConnectionPath.DIRECT,
                    "%d of %d upstreams are reached again".formatted(connected, sample.size()));
            return;
        }
        if (mPath == ConnectionPath.NONE || mHasTunnelFailed) {
            ConnectionPath found =
                    PathRule.verdict(0, PathAttempts.make(sample, this::tunnel).successes());
            if (found != mPath) {
                change(found, "tunnels through other instances were tried");
            }
        }
    }

    /** Returns the path and the counters, for the log. */
    @Override
    public String toString() {
        return "%s, %d changes, %d verifications, %d probes of silent upstreams"
                .formatted(mPath, mChanges.get(), mVerifications.get(), mProbes.get());
    }

    @Override
    public void close() {
        mIsClosed = true;
    }
}
