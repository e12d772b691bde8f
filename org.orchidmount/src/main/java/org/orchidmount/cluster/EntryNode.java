/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.EngineRuns;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.KeepAlive;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.cluster.ClusterMessage.RegistrationsHeld;
import org.orchidmount.cluster.ClusterMessage.TableDocument;
import org.orchidmount.cluster.ClusterMessage.TableNotice;
import org.orchidmount.cluster.ClusterMessage.TableRequest;
import org.orchidmount.cluster.ClusterMessage.Voters;
import org.orchidmount.consensus.Member;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.EngineRun;
import org.orchidmount.load.RunNews;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registry;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.RouteTableParser;

/**
 * What an entry knows from the voters: the route table in force and the upstreams.
 *
 * <p>Invariants: the table never goes back to a lower version; an upstream that has begun to leave
 * never comes back. What is known stays in use while no voter can be reached. The state is confined
 * to one thread; the public methods are thread-safe.
 */
public final class EntryNode implements RunNews, AutoCloseable {
    private static final PartLog LOG = PartLog.of("entry");
    private static final long TICK_MILLIS = 200;
    private static final long TELL_AGAIN_MILLIS = 1_500;

    /** News goes to two voters, because one of them may have just been lost. */
    private static final int TOLD_VOTERS = 2;

    private static final long REQUEST_AGAIN_NANOS = Duration.ofMillis(250).toNanos();
    private static final long REMEMBER_NANOS = Duration.ofMinutes(10).toNanos();
    private static final long SILENT_NANOS = Duration.ofSeconds(30).toNanos();

    /** After this time a table of a voter without a quorum has to do. */
    private static final long WAIT_FOR_QUORUM_NANOS = Duration.ofSeconds(3).toNanos();

    /** Nearly all runs are shorter than this, so after it all that go on were told of. */
    private static final long HEAR_RUNS_NANOS = Duration.ofSeconds(6).toNanos();

    private final ScheduledThreadPoolExecutor mThread =
            new ScheduledThreadPoolExecutor(
                    1, Thread.ofPlatform().name("entry").daemon().factory());
    private final MonotonicClock mClock;
    private final RouteTableParser mParser;
    private final Listener mListener;
    private final Greeting mGreeting;
    private final Set<HostPort> mSeeds;
    private final Link.Handler mHandler = new LinkEvents();
    private final Map<HostPort, Dialer> mDialers = new HashMap<>();
    private final Map<HostPort, Long> mSeenNanos = new HashMap<>();

    /** What voters told last, those heard of last at the end. */
    private final LinkedHashMap<Link, TableNotice> mNotices = new LinkedHashMap<>();

    private final Map<Link, HostPort> mLinks = new HashMap<>();
    private final Registry mRegistry = new Registry(REMEMBER_NANOS);
    private final Map<String, OwnRun> mOwnRuns = new HashMap<>();
    private final long mStartNanos;
    private long mRequestedNanos;
    private volatile long mUnlinkedNanos;
    private boolean mConfirmed;
    private volatile RouteTable mTable;
    private volatile boolean mReady;
    private volatile int mEntries = 1;

    /** A run that this instance has placed. */
    private record OwnRun(EngineRun run, IntSupplier madeTokens) {
        EngineRun now() {
            return run.withMade(madeTokens.getAsInt());
        }
    }

    /** Learns what the voters pass on; called on the node's thread. */
    public interface Listener {
        /**
         * Takes a registration that says something new.
         *
         * @param registration the registration
         */
        void changed(Registration registration);

        /**
         * Takes what an instance, perhaps this one, has told of a run.
         *
         * @param run the run
         */
        void told(EngineRun run);
    }

    /**
     * Starts to follow the voters.
     *
     * @param node the instance's name
     * @param seeds cluster addresses of some voters
     * @param parser reads tables
     * @param listener learns of upstreams and of what others give them
     * @param clock the clock
     */
    public EntryNode(
            String node,
            List<HostPort> seeds,
            RouteTableParser parser,
            Listener listener,
            MonotonicClock clock) {
        mClock = clock;
        mParser = parser;
        mListener = listener;
        mGreeting = new Greeting(VoterNode.PROTOCOL, node, null);
        mSeeds = Set.copyOf(seeds);
        mStartNanos = clock.nanoTime();
        mRequestedNanos = mStartNanos - REQUEST_AGAIN_NANOS;
        mUnlinkedNanos = mStartNanos;
        post(() -> mSeeds.forEach(this::dial));
        mThread.scheduleWithFixedDelay(
                () -> guarded(this::tellAgain),
                TELL_AGAIN_MILLIS,
                TELL_AGAIN_MILLIS,
                TimeUnit.MILLISECONDS);
        mThread.scheduleWithFixedDelay(
                () -> guarded(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the table in force here.
     *
     * @return the table, or nothing until one is known
     */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(mTable);
    }

    /**
     * Tells whether a table is known that was in force when this instance started, or later.
     *
     * @return false until then
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Returns how many entries share the limits of the site.
     *
     * @return the number, at least 1
     */
    public int entries() {
        return mEntries;
    }

    /**
     * Looks for voters at more addresses from now on.
     *
     * @param seeds cluster addresses of some voters
     */
    public void addSeeds(List<HostPort> seeds) {
        post(() -> seeds.forEach(this::dial));
    }

    @Override
    public void begin(EngineRun run, IntSupplier madeTokens) {
        post(
                () -> {
                    mOwnRuns.put(run.requestId(), new OwnRun(run, madeTokens));
                    tell(List.of(run));
                });
    }

    @Override
    public void end(EngineRun run) {
        post(
                () -> {
                    mOwnRuns.remove(run.requestId());
                    tell(List.of(run));
                });
    }

    /** Sends news to the voters that were heard of last, which are most likely well. */
    private void tell(List<EngineRun> runs) {
        mNotices.sequencedKeySet().reversed().stream()
                .filter(Link::isOpen)
                .limit(TOLD_VOTERS)
                .forEach(link -> link.send(new EngineRuns(runs)));
    }

    /** Tells again of what goes on, so that the others forget what ended with its instance. */
    private void tellAgain() {
        List<EngineRun> runs = mOwnRuns.values().stream().map(OwnRun::now).toList();
        runs.forEach(mListener::told);
        if (!runs.isEmpty()) {
            tell(runs);
        }
    }

    @Override
    public boolean isComplete() {
        return mClock.nanoTime() - mUnlinkedNanos > HEAR_RUNS_NANOS;
    }

    private void dial(HostPort address) {
        mDialers.computeIfAbsent(address, to -> new Dialer(to, mGreeting, mHandler));
    }

    private void onMessage(Link link, ClusterMessage message) {
        switch (message) {
            case Greeting greeting -> onGreeting(link, greeting);
            case Voters voters -> voters.members().forEach(this::learn);
            case TableNotice notice -> {
                mNotices.putLast(link, notice);
                mEntries = Math.max(1, entriesTold());
                follow();
            }
            case TableDocument document -> apply(document);
            case EngineRuns runs -> runs.runs().forEach(mListener::told);
            case Registrations registrations -> {
                for (Registration registration : registrations.registrations()) {
                    mRegistry.merge(registration, mClock.nanoTime()).ifPresent(mListener::changed);
                }
                if (registrations.number() != 0) {
                    link.send(new RegistrationsHeld(registrations.number()));
                }
            }
            default -> {}
        }
    }

    private int entriesTold() {
        return mNotices.values().stream().mapToInt(TableNotice::entries).max().orElse(1);
    }

    private void onGreeting(Link link, Greeting greeting) {
        if (greeting.protocol() != VoterNode.PROTOCOL || greeting.voter() == null) {
            LOG.warn("%s is no voter that can be followed", greeting.node());
            link.close();
            return;
        }
        mLinks.put(link, HostPort.parse(greeting.voter().address()));
        learn(greeting.voter());
        LOG.info("voter %s is reached", greeting.node());
    }

    private void learn(Member member) {
        HostPort address = HostPort.parse(member.address());
        mSeenNanos.put(address, mClock.nanoTime());
        dial(address);
    }

    /** Asks for a newer table, and decides whether the one held may be served from. */
    private void follow() {
        long held = mTable == null ? 0 : mTable.version();
        Link newest = null;
        for (Map.Entry<Link, TableNotice> notice : mNotices.entrySet()) {
            boolean open = notice.getKey().isOpen();
            if (open && notice.getValue().version() > held) {
                newest = notice.getKey();
                held = notice.getValue().version();
            }
        }
        long nowNanos = mClock.nanoTime();
        if (newest != null && nowNanos - mRequestedNanos >= REQUEST_AGAIN_NANOS) {
            mRequestedNanos = nowNanos;
            newest.send(new TableRequest());
        }
        mConfirmed |= mNotices.values().stream().anyMatch(TableNotice::inTouch);
        boolean waited = nowNanos - mStartNanos > WAIT_FOR_QUORUM_NANOS;
        boolean known = mTable != null && newest == null;
        if (!mReady && known && (mConfirmed || waited)) {
            mReady = true;
            LOG.info("ready with table %d", mTable.version());
        }
    }

    private void apply(TableDocument document) {
        mRequestedNanos = mClock.nanoTime() - REQUEST_AGAIN_NANOS;
        if (mTable != null && document.version() <= mTable.version()) {
            return;
        }
        try {
            mTable = mParser.parse(document.document());
            LOG.info("table %d is in force", document.version());
        } catch (IllegalArgumentException e) {
            LOG.error("table " + document.version() + " cannot be read", e);
        }
        follow();
    }

    private void tick() {
        long nowNanos = mClock.nanoTime();
        mLinks.values().forEach(address -> mSeenNanos.put(address, nowNanos));
        List<HostPort> silent = new ArrayList<>();
        mSeenNanos.forEach(
                (address, seenNanos) -> {
                    if (nowNanos - seenNanos > SILENT_NANOS && !mSeeds.contains(address)) {
                        silent.add(address);
                    }
                });
        for (HostPort address : silent) {
            mSeenNanos.remove(address);
            mDialers.remove(address).close();
        }
        mRegistry.forgetOld(nowNanos);
        if (mLinks.isEmpty()) {
            mUnlinkedNanos = nowNanos;
        }
        follow();
    }

    private void onClosed(Link link) {
        mNotices.remove(link);
        HostPort voter = mLinks.remove(link);
        if (voter != null) {
            LOG.info("voter at %s is lost", voter);
        }
    }

    private void post(Runnable task) {
        try {
            mThread.execute(() -> guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("a task came after the end: %s", e);
        }
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a task failed", e);
        }
    }

    @Override
    public void close() {
        mThread.shutdownNow();
        Set<Dialer> dialers = new HashSet<>(mDialers.values());
        dialers.forEach(Dialer::close);
    }

    private final class LinkEvents implements Link.Handler {
        @Override
        public void received(Link link, ClusterMessage message) {
            if (!(message instanceof KeepAlive)) {
                post(() -> onMessage(link, message));
            }
        }

        @Override
        public void closed(Link link) {
            post(() -> onClosed(link));
        }
    }
}
