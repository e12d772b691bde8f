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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.InFlightSequences;
import org.orchidmount.cluster.ClusterMessage.QuotaReply;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.cluster.ClusterMessage.RegistrationsAck;
import org.orchidmount.cluster.ClusterMessage.TableDocument;
import org.orchidmount.cluster.ClusterMessage.TableNotice;
import org.orchidmount.cluster.ClusterMessage.TableRequest;
import org.orchidmount.cluster.ClusterMessage.Voters;
import org.orchidmount.consensus.Member;
import org.orchidmount.evidence.EvidenceReceiver;
import org.orchidmount.evidence.EvidenceSource;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.load.SequenceAnnouncer;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registry;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.pacing.UpstreamLimitAnnouncer;
import org.orchidmount.pacing.UpstreamLimits;
import org.orchidmount.quarantine.CrashAnnouncer;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.CrashRegistry;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.retry.RetryOwnerClient;
import org.orchidmount.retry.RetryRequest;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.RouteTableParser;
import org.orchidmount.stream.StreamOrigins;
import org.orchidmount.waiting.WaitingAnnouncer;
import org.orchidmount.waiting.WaitingReceiver;
import org.orchidmount.waiting.WaitingRequest;

/**
 * The cluster node of an entry: receives the route table and the upstream registrations from the
 * voters.
 *
 * <p>Invariants: the table in force never reverts to a lower version; an upstream that has begun to
 * drain is used again only after a restart, as a new incarnation. Known data stays in use while no
 * voter can be reached. The state is confined to one thread; the public methods are thread-safe.
 */
public final class EntryNode
        implements SequenceAnnouncer,
                QuotaOwnerClient,
                CrashAnnouncer,
                UpstreamLimitAnnouncer,
                WaitingAnnouncer,
                AutoCloseable {
    private static final PartLog LOG = PartLog.of("entry");

    /** Interval of the periodic check of links and tables. */
    private static final long TICK_MILLIS = 200;

    /**
     * Interval of progress announcements; other instances discard a sequence after three missed
     * announcements.
     */
    private static final long ANNOUNCE_INTERVAL_MILLIS = 1_500;

    /** Minimum interval between two requests for a table. */
    private static final Duration TABLE_REQUEST_INTERVAL = Duration.ofMillis(250);

    /**
     * Retention of the registration of an upstream that has left. Shorter than at voters: these
     * forward a new registration only once, so an entry must not reject one that a voter has
     * accepted.
     */
    private static final Duration DEPARTURE_RETENTION = Duration.ofMinutes(9);

    /** Time after which a silent voter is no longer dialled. */
    private static final Duration VOTER_RETENTION = Duration.ofSeconds(30);

    /** Time after which an entry serves from a table of a voter that has no quorum. */
    private static final Duration QUORUM_WAIT = Duration.ofSeconds(3);

    /**
     * Time after the start by which an instance has a table unless its voters cannot be reached:
     * links take some 10 ms to establish, an election after a full restart 0.1 to 0.3 s.
     */
    private static final Duration FIRST_TABLE_WAIT = Duration.ofSeconds(1);

    /** Time after which every instance has announced its sequences again, with a margin. */
    private static final Duration SEQUENCES_COMPLETE_AFTER =
            Duration.ofMillis(ANNOUNCE_INTERVAL_MILLIS + 500);

    private final TaskThread mTasks = new TaskThread("entry", LOG);
    private final MonotonicClock mClock;
    private final RouteTableParser mParser;
    private final Listener mListener;
    private final Greeting mGreeting;
    private final Set<HostPort> mSeeds;
    private final Link.Handler mHandler = new LinkTasks(mTasks, this::onMessage, this::onClosed);
    private final Map<HostPort, Dialer> mDialers = new HashMap<>();
    private final Map<HostPort, Long> mSeenNanos = new HashMap<>();

    /** Newest notice of each voter, in order of receipt. */
    private final LinkedHashMap<Link, TableNotice> mNotices = new LinkedHashMap<>();

    private final Map<Link, HostPort> mLinks = new HashMap<>();
    private final Map<Link, Greeting> mGreetings = new HashMap<>();
    private final Registry mRegistry = new Registry(DEPARTURE_RETENTION.toNanos());
    private final OwnSequences mOwnSequences = new OwnSequences();
    private final QuotaRequests mQuotaRequests;
    private final EntryRecords mRecords;
    private final EntrySharedState mSharedState;
    private final EntryTunnels mTunnels;
    private final EntryStreams mStreams;
    private final EntryRetries mRetries;
    private final CountDownLatch mFirstTable = new CountDownLatch(1);
    private final long mStartNanos;
    private long mTableRequestedNanos;
    private volatile long mLastUnlinkedNanos;

    /**
     * Time at which a voter with contact to a quorum last confirmed that the table held is the
     * newest.
     */
    private volatile long mConfirmedNanos;

    private boolean mHasSeenQuorum;
    private volatile RouteTable mTable;
    private volatile boolean mReady;
    private volatile int mEntryCount = 1;

    /** Receives updates from the voters; called on the node's thread. */
    public interface Listener {
        /**
         * Handles a new or changed registration.
         *
         * @param registration the registration
         */
        void onRegistration(Registration registration);

        /**
         * Handles the announced progress of a sequence of any instance, this one included.
         *
         * @param sequence the sequence
         */
        void onSequence(InFlightSequence sequence);
    }

    /**
     * Creates a node and connects it to the voters.
     *
     * @param node the instance name
     * @param zone the instance's availability zone
     * @param seeds cluster addresses of some voters
     * @param parser the parser of table documents
     * @param listener the receiver of registrations and announcements
     * @param clock the monotonic clock
     */
    public EntryNode(
            String node,
            String zone,
            List<HostPort> seeds,
            RouteTableParser parser,
            Listener listener,
            MonotonicClock clock) {
        this(node, zone, seeds, parser, listener, Optional.empty(), (_, _) -> {}, clock);
    }

    /**
     * Creates a node and connects it to the voters.
     *
     * @param node the instance name
     * @param zone the instance's availability zone
     * @param seeds cluster addresses of some voters
     * @param parser the parser of table documents
     * @param listener the receiver of registrations and announcements
     * @param tunnels how this instance opens tunnels for others; empty if it does not
     * @param tunnelReceiver the receiver of the instances that open tunnels for this one
     * @param clock the monotonic clock
     */
    public EntryNode(
            String node,
            String zone,
            List<HostPort> seeds,
            RouteTableParser parser,
            Listener listener,
            Optional<TunnelPeer> tunnels,
            TunnelReceiver tunnelReceiver,
            MonotonicClock clock) {
        mClock = clock;
        mParser = parser;
        mListener = listener;
        mTunnels = new EntryTunnels(tunnelReceiver);
        mGreeting = new Greeting(VoterNode.PROTOCOL, node, zone, null, Capability.own(), tunnels);
        mSeeds = Set.copyOf(seeds);
        mQuotaRequests = new QuotaRequests(node.hashCode());
        mRecords = new EntryRecords(node, clock);
        mSharedState = new EntrySharedState(zone, this::sendSharedState, mTasks, clock);
        mStreams = new EntryStreams(node, zone, mTasks, this::timeSinceConfirmation, clock);
        mRetries = new EntryRetries(mTasks, clock);
        mStartNanos = clock.nanoTime();
        mTableRequestedNanos = mStartNanos - TABLE_REQUEST_INTERVAL.toNanos();
        mLastUnlinkedNanos = mStartNanos;
        mConfirmedNanos = mStartNanos;
        mTasks.post(() -> mSeeds.forEach(this::dial));
        mTasks.every(ANNOUNCE_INTERVAL_MILLIS, this::announceProgress);
        mTasks.every(TICK_MILLIS, this::tick);
    }

    /**
     * Returns the route table in force.
     *
     * @return the table, or empty until one is received
     */
    public Optional<RouteTable> table() {
        return Optional.ofNullable(mTable);
    }

    /**
     * Returns the route table in force; shortly after the start, when the first one is most likely
     * in transit, waits for it.
     *
     * @param longest the maximum wait
     * @return the table, or empty if none was received in time
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public Optional<RouteTable> awaitTable(Duration longest) throws InterruptedException {
        long startingNanos = FIRST_TABLE_WAIT.toNanos() - (mClock.nanoTime() - mStartNanos);
        if (mTable == null && startingNanos > 0) {
            mFirstTable.await(Math.min(startingNanos, longest.toNanos()), TimeUnit.NANOSECONDS);
        }
        return table();
    }

    /**
     * Returns whether this instance may serve: it has a table that is at least as new as the one in
     * force when it started, as far as the voters could confirm that.
     *
     * @return true from then on
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Returns the time since a voter with contact to a quorum last confirmed that the table in
     * force here is the newest.
     *
     * @return the time since the last confirmation, or since the start if there was none
     */
    public Duration timeSinceConfirmation() {
        return Duration.ofNanos(mClock.nanoTime() - mConfirmedNanos);
    }

    /**
     * Returns the number of entries that share the limits of the site.
     *
     * @return the number, at least 1
     */
    public int entryCount() {
        return mEntryCount;
    }

    /**
     * Adds addresses at which to look for voters.
     *
     * @param seeds cluster addresses of some voters
     */
    public void addSeeds(List<HostPort> seeds) {
        mTasks.post(() -> seeds.forEach(this::dial));
    }

    @Override
    public void begin(InFlightSequence sequence, IntSupplier generatedTokens) {
        mTasks.post(
                () -> {
                    mOwnSequences.begin(sequence, generatedTokens);
                    announce(List.of(sequence));
                });
    }

    @Override
    public void end(InFlightSequence sequence) {
        mTasks.post(
                () -> {
                    mOwnSequences.end(sequence);
                    announce(List.of(sequence));
                });
    }

    /**
     * Sends sequences to one voter in each availability zone, which relays them to the entries
     * there. Chooses the voter with the most recent notice, as the one most likely to be up. If it
     * was lost just before, its zone learns of the sequences with the next progress announcement.
     */
    private void announce(List<InFlightSequence> sequences) {
        sendToEachZone(new InFlightSequences(sequences), voter -> true);
    }

    private void sendSharedState(ClusterMessage message) {
        sendToEachZone(message, voter -> supports(voter, Capability.SHARED_STATE));
    }

    private void sendToEachZone(ClusterMessage message, Predicate<Link> isRecipient) {
        Frame frame = new Frame(message);
        Set<String> reached = new HashSet<>();
        for (Link link : mNotices.sequencedKeySet().reversed()) {
            if (link.isOpen() && isRecipient.test(link) && reached.add(zoneOf(link))) {
                link.send(frame);
            }
        }
    }

    private boolean supports(Link voter, Capability capability) {
        Greeting greeting = mGreetings.get(voter);
        return greeting != null && greeting.supports(capability);
    }

    private String zoneOf(Link voter) {
        Greeting greeting = mGreetings.get(voter);
        return greeting == null ? "" : greeting.zone();
    }

    /**
     * Announces the progress of all own sequences; other instances discard sequences that are no
     * longer announced.
     */
    private void announceProgress() {
        List<InFlightSequence> sequences = mOwnSequences.now();
        sequences.forEach(mListener::onSequence);
        if (!sequences.isEmpty()) {
            announce(sequences);
        }
    }

    @Override
    public boolean isComplete() {
        return mClock.nanoTime() - mLastUnlinkedNanos > SEQUENCES_COMPLETE_AFTER.toNanos();
    }

    @Override
    public CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request) {
        CompletableFuture<QuotaAnswer> answer = new CompletableFuture<>();
        mTasks.post(() -> mQuotaRequests.ask(request, answer));
        return answer;
    }

    @Override
    public void refund(String key, long units) {
        mTasks.post(() -> mQuotaRequests.refund(key, units));
    }

    /**
     * Returns the crash records known to this instance.
     *
     * @return the live registry, updated as records arrive
     */
    public CrashRegistry crashes() {
        return mRecords.crashes();
    }

    @Override
    public void announce(CrashRecord record) {
        mTasks.post(() -> mRecords.announce(record));
    }

    /**
     * Returns the upstream rate limits known to this instance.
     *
     * @return the live limits, updated as records arrive
     */
    public UpstreamLimits limits() {
        return mRecords.limits();
    }

    @Override
    public void announce(UpstreamLimit limit) {
        mTasks.post(() -> mRecords.announce(limit));
    }

    /**
     * Shares state with the other entries while a gate determines that it is in force. Called once;
     * without it, no such state is sent or used.
     *
     * @param gate determines whether shared state is in force
     * @param source the source of reports to voters
     * @param evidence the receiver of digests
     * @param waiting the receiver of waiting requests of other entries
     */
    public void shareState(
            SharedStateGate gate,
            EvidenceSource source,
            EvidenceReceiver evidence,
            WaitingReceiver waiting) {
        mTasks.post(
                () -> {
                    mSharedState.share(gate, source, evidence, waiting);
                    mSharedState.update(mTable, mEntryCount);
                });
    }

    /**
     * Returns whether state is shared with the other entries.
     *
     * @return true while the setting, the table in force and the number of entries require it
     */
    public boolean isSharedStateInForce() {
        return mSharedState.isInForce();
    }

    /**
     * Returns the number of availability zones of which a voter has been linked, this instance's
     * own included. It never decreases, so that a cut does not make one zone look like the whole
     * site.
     *
     * @return at least 1
     */
    public int zones() {
        return mSharedState.zones();
    }

    @Override
    public void announce(WaitingRequest request) {
        mTasks.post(() -> mSharedState.announce(request));
    }

    /**
     * Announces to all voters that an upstream is leaving, as stated in one of its responses to
     * this instance. The voters hold and forward this as if the upstream had registered it. Returns
     * without waiting.
     *
     * @param leaving the registration of the upstream, in a leaving state
     */
    public void announceDeparture(Registration leaving) {
        mTasks.post(
                () -> {
                    mRegistry.merge(leaving, mClock.nanoTime());
                    mLinks.keySet().forEach(voter -> voter.send(departures(List.of(leaving))));
                });
    }

    /**
     * Reports to all voters how this instance reaches upstreams. Returns without waiting.
     *
     * @param path the path of new connections
     */
    public void reportPath(ConnectionPath path) {
        mTasks.post(() -> mTunnels.report(path, mGreetings));
    }

    /**
     * Returns a message that is merged but not acknowledged, since each registration carries its
     * incarnation where that is known.
     */
    private static Registrations departures(List<Registration> leaving) {
        return new Registrations(0, leaving);
    }

    /**
     * Sends the known departures to a voter: after a restart, it may hold these upstreams as ready,
     * as they registered.
     */
    private void resendDepartures(Link voter) {
        List<Registration> leaving =
                mRegistry.all().stream()
                        .filter(held -> held.state() == Registration.State.DRAINING)
                        .toList();
        if (!leaving.isEmpty()) {
            voter.send(departures(leaving));
        }
    }

    /**
     * Returns a client of the owner that counts the requests sent to upstreams.
     *
     * @return the client
     */
    public QuotaOwnerClient upstreamQuotaClient() {
        return new UpstreamQuotaClient(mTasks, mRecords, mQuotaRequests);
    }

    /**
     * Returns a client of the voter that grants retries.
     *
     * @return the client
     */
    public RetryOwnerClient retryOwner() {
        return mRetries;
    }

    /**
     * Reports requests to the voter that grants retries while it asks for them. Called once.
     *
     * @param reporter returns a report of the requests for a service since the previous one
     */
    public void reportRequests(Function<String, RetryRequest> reporter) {
        mTasks.post(() -> mRetries.reportFrom(reporter));
    }

    /**
     * Returns what the instances of the site know of the origins of streams.
     *
     * @return the live origins
     */
    public StreamOrigins streamOrigins() {
        return mStreams;
    }

    private void dial(HostPort address) {
        mDialers.computeIfAbsent(address, to -> new Dialer(to, mGreeting, mHandler));
    }

    private void onMessage(Link link, ClusterMessage message) {
        if (message instanceof InFlightSequences announced) {
            announced.sequences().forEach(mListener::onSequence);
        } else if (message instanceof QuotaReply reply) {
            mQuotaRequests.onReply(reply);
        } else if (message instanceof Registrations registrations) {
            onRegistrations(link, registrations);
        } else if (message instanceof TableNotice notice) {
            onNotice(link, notice);
        } else if (message instanceof TableDocument document) {
            apply(document);
        } else if (message instanceof Voters voters) {
            voters.members().forEach(this::addVoter);
        } else if (message instanceof Greeting greeting) {
            onGreeting(link, greeting);
        } else if (!mRetries.received(link, message)
                && !mStreams.received(link, message)
                && !mTunnels.received(mLinks.get(link), message)
                && !mSharedState.received(mLinks.get(link), message)) {
            mRecords.received(message);
        }
    }

    private void onNotice(Link link, TableNotice notice) {
        mNotices.putLast(link, notice);
        mEntryCount = Math.max(1, largestEntryCount());
        mSharedState.update(mTable, mEntryCount);
        requestNewerTableAndCheckReadiness();
        boolean isNewest = mTable != null && mTable.version() >= notice.version();
        if (notice.hasQuorum() && isNewest) {
            mConfirmedNanos = mClock.nanoTime();
        }
    }

    private void onRegistrations(Link link, Registrations registrations) {
        long nowNanos = mClock.nanoTime();
        for (Registration registration : registrations.registrations()) {
            Optional<Registration> changed =
                    registrations.isDeparture()
                            ? mRegistry.mergeDeparture(registration, nowNanos)
                            : mRegistry.merge(registration, nowNanos);
            changed.ifPresent(mListener::onRegistration);
        }
        if (registrations.isDeparture()) {
            link.send(new RegistrationsAck(registrations.number()));
        }
    }

    private int largestEntryCount() {
        return mNotices.values().stream().mapToInt(TableNotice::entries).max().orElse(1);
    }

    private void onGreeting(Link link, Greeting greeting) {
        if (greeting.protocol() != VoterNode.PROTOCOL || greeting.voter() == null) {
            LOG.warn(
                    "closing the link to %s: not a voter, or another protocol version",
                    greeting.node());
            link.close();
            return;
        }
        HostPort voter = HostPort.parse(greeting.voter().address());
        mLinks.put(link, voter);
        mQuotaRequests.onVoterLinked(voter, link);
        mGreetings.put(link, greeting);
        mSharedState.onZone(greeting.zone());
        mRecords.linked(link, greeting);
        resendDepartures(link);
        mTunnels.linked(link, greeting);
        mStreams.linked(link, greeting);
        mRetries.linked(link, greeting);
        addVoter(greeting.voter());
        LOG.info("connected to voter %s", greeting.node());
    }

    private void addVoter(Member member) {
        HostPort address = HostPort.parse(member.address());
        mSeenNanos.put(address, mClock.nanoTime());
        dial(address);
    }

    /**
     * Requests a newer table if a voter has announced one, and checks whether the table held may be
     * served from.
     */
    private void requestNewerTableAndCheckReadiness() {
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
        if (newest != null && nowNanos - mTableRequestedNanos >= TABLE_REQUEST_INTERVAL.toNanos()) {
            mTableRequestedNanos = nowNanos;
            newest.send(new TableRequest());
        }
        mHasSeenQuorum |= mNotices.values().stream().anyMatch(TableNotice::hasQuorum);
        boolean hasWaited = nowNanos - mStartNanos > QUORUM_WAIT.toNanos();
        boolean known = mTable != null && newest == null;
        if (!mReady && known && (mHasSeenQuorum || hasWaited)) {
            mReady = true;
            LOG.info("ready to serve with table %d", mTable.version());
        }
    }

    private void apply(TableDocument document) {
        mTableRequestedNanos = mClock.nanoTime() - TABLE_REQUEST_INTERVAL.toNanos();
        if (mTable != null && document.version() <= mTable.version()) {
            return;
        }
        try {
            mTable = mParser.parse(document.document());
            mFirstTable.countDown();
            mSharedState.update(mTable, mEntryCount);
            LOG.info("table %d is in force", document.version());
        } catch (IllegalArgumentException e) {
            LOG.error("table " + document.version() + " cannot be parsed and is not applied", e);
        }
        requestNewerTableAndCheckReadiness();
    }

    private void tick() {
        long nowNanos = mClock.nanoTime();
        mLinks.values().forEach(address -> mSeenNanos.put(address, nowNanos));
        List<HostPort> silent = new ArrayList<>();
        mSeenNanos.forEach(
                (address, seenNanos) -> {
                    if (nowNanos - seenNanos > VOTER_RETENTION.toNanos()
                            && !mSeeds.contains(address)) {
                        silent.add(address);
                    }
                });
        for (HostPort address : silent) {
            mSeenNanos.remove(address);
            mDialers.remove(address).close();
        }
        mRegistry.removeExpired(nowNanos);
        mStreams.removeExpired();
        if (mLinks.isEmpty()) {
            mLastUnlinkedNanos = nowNanos;
        }
        requestNewerTableAndCheckReadiness();
    }

    private void onClosed(Link link) {
        mNotices.remove(link);
        mGreetings.remove(link);
        mRecords.lost(link);
        mStreams.lost(link);
        mRetries.lost(link);
        HostPort voter = mLinks.remove(link);
        if (voter != null) {
            mQuotaRequests.onVoterLost(voter, link);
            LOG.info("lost the connection to the voter at %s", voter);
        }
    }

    @Override
    public void close() {
        mTasks.close();
        mSharedState.close();
        Set<Dialer> dialers = new HashSet<>(mDialers.values());
        dialers.forEach(Dialer::close);
    }
}
