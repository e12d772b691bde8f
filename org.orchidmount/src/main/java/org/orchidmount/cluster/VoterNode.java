/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.QuotaRequestMessage;
import org.orchidmount.cluster.ClusterMessage.QuotaReturn;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.cluster.ClusterMessage.RegistrationsAck;
import org.orchidmount.cluster.ClusterMessage.Replication;
import org.orchidmount.cluster.ClusterMessage.TableDocument;
import org.orchidmount.cluster.ClusterMessage.TableNotice;
import org.orchidmount.cluster.ClusterMessage.TableRequest;
import org.orchidmount.cluster.ClusterMessage.Voters;
import org.orchidmount.consensus.DurableState;
import org.orchidmount.consensus.EntryId;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.Replica;
import org.orchidmount.consensus.ReplicaEffects;
import org.orchidmount.consensus.ReplicaMessage;
import org.orchidmount.evidence.ReportMerger;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registry;
import org.orchidmount.pacing.UpstreamPauses;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.RequestFingerprint;
import org.orchidmount.retry.RetryUse;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.RouteTableParser;

/**
 * The cluster node of a voter: takes part in the consensus on the route table and distributes
 * registrations of upstreams.
 *
 * <p>Invariants: a change is acknowledged only once it is synced at a quorum, the departure of an
 * upstream only once a quorum holds it; entries are sent committed tables only; units of a shared
 * limit are granted only while leading a quorum. State is confined to one thread; public methods
 * are thread-safe, and their futures may never complete.
 */
public final class VoterNode implements AutoCloseable {
    /** Version of the protocol between instances. */
    static final int PROTOCOL = 2;

    private static final PartLog LOG = PartLog.of("voter");

    /** Interval between two ticks of the replica, a fraction of its time-outs. */
    private static final long TICK_MILLIS = 50;

    /** Interval between two table notices to all entries. */
    private static final long NOTICE_INTERVAL_MILLIS = 1_000;

    /** Retention of the registration of an upstream that has left. */
    private static final long DEPARTURE_RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    private final TaskThread mTasks = new TaskThread("voter", LOG);
    private final MonotonicClock mClock;
    private final Member mSelf;
    private final Replica mReplica;
    private final Persister<StateWrite> mPersister;
    private final VoterLinks mLinks;
    private final LinkServer mServer;
    private final VoterStages mStages;
    private final Registry mRegistry = new Registry(DEPARTURE_RETENTION_NANOS);
    private final PendingDepartures mDepartures = new PendingDepartures();
    private final VoterQuota mQuota;
    private final VoterRetries mRetries;
    private final VoterRecords mRecords;
    private final VoterSharedState mSharedState;
    private final VoterTunnels mTunnels = new VoterTunnels(mTasks);
    private final VoterStreams mStreams;

    /** Registrations received from upstreams since the last batch to the other voters. */
    private final Map<String, Registration> mUnsent = new HashMap<>();

    /** Holds back registrations of unknown services; null if all services are accepted. */
    private ServiceGate mGate;

    private GroupState mCommitted = new GroupState(List.of(), 0, new byte[0]);
    private boolean mHadQuorumContact;
    private Replica.Role mLastRole = Replica.Role.FOLLOWER;

    /** A state to be written, and the number that identifies the write to the replica. */
    private record StateWrite(long number, DurableState state) {}

    private VoterNode(VoterConfig config, MonotonicClock clock) throws IOException {
        mClock = clock;
        StateFile file = StateFile.open(config.folder());
        DurableState durable = file.read().orElseGet(() -> InitialState.of(config));
        mSelf = new Member(durable.self(), config.address().toString(), config.controlAddress());
        Greeting greeting =
                new Greeting(PROTOCOL, config.node(), config.zone(), mSelf, Capability.own());
        Link.Handler handler = new LinkTasks(mTasks, this::onMessage, this::onClosed);
        mPersister = new Persister<>("disk", write -> file.write(write.state()), this::onPersisted);
        mReplica =
                new Replica(
                        mSelf,
                        durable,
                        2 * config.lossesBorne() + 1,
                        config.timing(),
                        new SplittableRandom(),
                        new Effects(),
                        clock.nanoTime());
        mLinks =
                new VoterLinks(
                        config.address(),
                        greeting,
                        config.seeds().stream().map(VoterConfig.Seed::address).toList(),
                        handler);
        mRecords = new VoterRecords(config.node(), config.folder(), mLinks, clock);
        mSharedState = new VoterSharedState(mLinks, mTasks, clock);
        mStreams = new VoterStreams(clock);
        mServer = new LinkServer(config.address(), greeting, handler);
        mStages =
                new VoterStages(
                        new StageController(
                                config.stages(),
                                config.node(),
                                new UpstreamPauses(clock),
                                leaving -> mTasks.post(() -> onLeaving(leaving))),
                        mReplica,
                        mRegistry,
                        mTasks,
                        clock);
        mQuota = new VoterQuota(mReplica, mSelf, config.firstStart(), clock.nanoTime());
        mRetries = new VoterRetries(mReplica, mLinks, mQuota, config.firstStart(), clock);
        mTasks.every(TICK_MILLIS, this::tick);
        mTasks.every(NOTICE_INTERVAL_MILLIS, this::runMaintenance);
        LOG.info(
                "replica %s starts at consensus entry %s with table %d",
                mSelf.id(), durable.entry(), durable.state().tableVersion());
    }

    /**
     * Starts a voter.
     *
     * @param config the configuration
     * @param clock the monotonic clock
     * @return the running voter
     * @throws IOException if the folder cannot be read or the address cannot be bound
     */
    public static VoterNode start(VoterConfig config, MonotonicClock clock) throws IOException {
        return new VoterNode(config, clock);
    }

    // ---- Operators

    /**
     * Commits a table if its version is higher than that of the newest one.
     *
     * @param version the version of the table
     * @param document the validated table document
     * @return the reply; may never complete
     */
    public CompletableFuture<TableReply> putTable(long version, byte[] document) {
        return runOnLeader(
                done -> {
                    GroupState newest = mReplica.state();
                    boolean same = version == newest.tableVersion();
                    if (version > newest.tableVersion()) {
                        LOG.info(
                                "proposing table %d to replace table %d",
                                version, newest.tableVersion());
                        mReplica.propose(
                                newest.withTable(version, document),
                                committed -> done.accept(accepted(committed, version)));
                    } else if (same && !Arrays.equals(document, newest.tableDocument())) {
                        done.accept(new TableReply.Conflict(version));
                    } else {
                        mReplica.confirmRead(
                                confirmed ->
                                        done.accept(accepted(confirmed, newest.tableVersion())));
                    }
                });
    }

    private static TableReply accepted(boolean certain, long version) {
        return certain ? new TableReply.Accepted(version) : new TableReply.Unavailable();
    }

    /**
     * Reads the committed table, confirmed by a quorum.
     *
     * @return the reply; may never complete
     */
    public CompletableFuture<TableReply> readTable() {
        return runOnLeader(
                done ->
                        mReplica.confirmRead(
                                confirmed ->
                                        done.accept(
                                                confirmed
                                                        ? new TableReply.Current(
                                                                mCommitted.tableVersion(),
                                                                mCommitted.tableDocument())
                                                        : new TableReply.Unavailable())));
    }

    /** Runs a request on the leader, or replies with the leader's address. */
    private CompletableFuture<TableReply> runOnLeader(Consumer<Consumer<TableReply>> request) {
        CompletableFuture<TableReply> answer = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    if (mReplica.role() == Replica.Role.LEADER) {
                        request.accept(answer::complete);
                        return;
                    }
                    Optional<Member> leader =
                            mReplica.hasQuorumContact() ? mReplica.leader() : Optional.empty();
                    answer.complete(
                            leader.map(Member::controlAddress)
                                    .<TableReply>map(TableReply.NotLeader::new)
                                    .orElseGet(TableReply.Unavailable::new));
                });
        return answer;
    }

    /**
     * Returns the committed voters as known to this one.
     *
     * @return the voters; may never complete
     */
    public CompletableFuture<List<Member>> voters() {
        return query(() -> mCommitted.members());
    }

    /**
     * Adds addresses at which to look for voters.
     *
     * @param seeds cluster addresses of some voters
     */
    public void addSeeds(List<HostPort> seeds) {
        mTasks.post(() -> seeds.forEach(mLinks::dial));
    }

    // ---- Crash records and upstream limits

    /**
     * Returns the quarantined requests, under which upstreams have crashed.
     *
     * @return their records; may never complete
     */
    public CompletableFuture<List<CrashRecord>> quarantined() {
        return query(mRecords.crashes()::quarantined);
    }

    /**
     * Lifts the quarantine of a request at all instances.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if the request was quarantined
     */
    public CompletableFuture<Boolean> liftQuarantine(RequestFingerprint fingerprint) {
        return query(() -> mRecords.crashes().lift(fingerprint));
    }

    /**
     * Returns the rate limits that upstreams state, as known to this voter, with their use.
     *
     * @return the limits in force; may never complete
     */
    public CompletableFuture<List<UpstreamLimitUse>> upstreamLimits() {
        return query(() -> mRecords.limits().limitsWithUse(mQuota));
    }

    /**
     * Returns how much of the limits on retries is used.
     *
     * @return the use by service; empty if this voter does not lead; may never complete
     */
    public CompletableFuture<List<RetryUse>> retryUses() {
        return query(mRetries::uses);
    }

    /**
     * Returns the registrations of the upstreams that have not left.
     *
     * @return the registrations; may never complete
     */
    public CompletableFuture<List<Registration>> upstreams() {
        return query(
                () ->
                        mRegistry.all().stream()
                                .filter(held -> held.state() != Registration.State.GONE)
                                .toList());
    }

    /**
     * Returns how each linked entry reaches upstreams.
     *
     * @return the path by the name of the entry; may never complete
     */
    public CompletableFuture<SortedMap<String, ConnectionPath>> entryPaths() {
        return query(mTunnels::paths);
    }

    // ---- Shared state

    /**
     * Merges the evidence that entries report, and sends them digests of it, from now on.
     *
     * @param merger the merger, called on this voter's thread only
     */
    public void mergeReports(ReportMerger merger) {
        mTasks.post(() -> mSharedState.mergeWith(merger, mRegistry.all()));
    }

    /** Evaluates a query on the voter's thread. */
    private <T> CompletableFuture<T> query(Supplier<T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        mTasks.post(() -> answer.complete(query.get()));
        return answer;
    }

    // ---- Upstreams

    /**
     * Holds back registrations of services that the table in force does not name.
     *
     * @param parser the parser of table documents
     */
    public void holdBackUnknownServices(RouteTableParser parser) {
        mTasks.post(
                () -> {
                    mGate = new ServiceGate(parser);
                    parseTable(mGate, mCommitted);
                });
    }

    private void parseTable(ServiceGate gate, GroupState state) {
        gate.parseLater(state, table -> mTasks.post(() -> applyTable(gate, table)));
    }

    private void applyTable(ServiceGate gate, RouteTable table) {
        registerReleased(gate.apply(table));
    }

    /** Registered upstreams stay accepted, even if the table no longer names their service. */
    private boolean mustHoldBack(Registration registration) {
        if (mGate == null || mGate.isNamed(registration.service())) {
            return false;
        }
        return mRegistry
                .find(registration.id())
                .filter(held -> held.service().equals(registration.service()))
                .isEmpty();
    }

    /** Applies registrations that were held back and forwards them in one message. */
    private void registerReleased(List<Registration> named) {
        List<Registration> changed = new ArrayList<>();
        for (Registration registration : named) {
            apply(registration).ifPresent(changed::add);
        }
        if (!changed.isEmpty()) {
            forward(changed);
        }
    }

    /**
     * Applies the registration of an upstream.
     *
     * @param registration the registration
     * @return true once it is held where required, for a departure at a quorum; false if this voter
     *     may be cut off
     */
    public CompletableFuture<Boolean> register(Registration registration) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    if (mustHoldBack(registration)) {
                        mGate.holdBack(registration);
                        done.complete(mReplica.hasQuorumContact());
                        return;
                    }
                    Optional<Registration> changed = apply(registration);
                    if (registration.isLeaving()) {
                        replicateDeparture(
                                mRegistry.find(registration.id()).orElse(registration), done);
                        return;
                    }
                    changed.ifPresent(this::forward);
                    done.complete(mReplica.hasQuorumContact());
                });
        return done;
    }

    /** Applies a registration; returns the registration now held if it changed. */
    private Optional<Registration> apply(Registration registration) {
        long nowNanos = mClock.nanoTime();
        Optional<Registration> changed =
                registration.isLeaving()
                        ? mRegistry.mergeDeparture(registration, nowNanos)
                        : mRegistry.merge(registration, nowNanos);
        changed.ifPresent(RegistrationLog::changed);
        queueForVoters(registration);
        return changed;
    }

    /** Applies an engine's statement, in a response to this voter, that it onLeaving. */
    private void onLeaving(Registration leaving) {
        mRegistry.merge(leaving, mClock.nanoTime()).ifPresent(this::forward);
    }

    /**
     * Queues a registration for the next batch, unless it is a late one of an earlier incarnation,
     * which would replace that of the current one.
     */
    private void queueForVoters(Registration registration) {
        boolean isCurrent =
                mRegistry
                        .find(registration.id())
                        .filter(held -> held.incarnation().equals(registration.incarnation()))
                        .isPresent();
        if (isCurrent) {
            mUnsent.put(registration.id(), registration);
        }
    }

    /**
     * Applies the departure of an upstream.
     *
     * @param id the identity of the upstream
     * @return true once a quorum of the voters holds it; false if this voter may be cut off
     */
    public CompletableFuture<Boolean> deregister(String id) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    if (mGate != null) {
                        mGate.remove(id);
                    }
                    Registration gone = mRegistry.markDeparted(id, mClock.nanoTime());
                    RegistrationLog.changed(gone);
                    replicateDeparture(gone, done);
                });
        return done;
    }

    private void replicateDeparture(Registration leaving, CompletableFuture<Boolean> done) {
        if (!mReplica.hasQuorumContact()) {
            forward(leaving);
            done.complete(false);
            return;
        }
        long number = mDepartures.begin(done);
        done.whenComplete((held, error) -> mTasks.post(() -> mDepartures.remove(number)));
        mLinks.sendToVoters(new Registrations(number, List.of(leaving)));
        // Without a start time, an entry applies a departure only if it is sent as just received.
        long entryNumber = leaving.incarnation().isStartKnown() ? 0 : number;
        mLinks.sendToEntries(new Registrations(entryNumber, List.of(leaving)));
        mDepartures.complete(number, mReplica.state().quorum());
    }

    private void forward(Registration changed) {
        forward(List.of(changed));
    }

    private void forward(List<Registration> changed) {
        changed.forEach(mSharedState::onRegistration);
        Registrations message = new Registrations(0, changed);
        mLinks.sendToVoters(message);
        mLinks.sendToEntries(message);
    }

    // ---- Links

    private void onMessage(Link link, ClusterMessage message) {
        if (message instanceof Greeting greeting) {
            onGreeting(link, greeting);
            return;
        }
        if (!mLinks.isGreeted(link)) {
            link.close();
            return;
        }
        if (message instanceof Replication replication) {
            onReplication(replication);
        } else if (message instanceof QuotaRequestMessage quotaRequest) {
            onQuotaRequest(link, quotaRequest);
        } else if (message instanceof QuotaReturn units) {
            mQuota.refund(units, mClock.nanoTime());
        } else if (message instanceof Registrations registrations) {
            onRegistrations(link, registrations);
        } else if (message instanceof RegistrationsAck held) {
            onRegistrationsAck(link, held);
        } else if (message instanceof TableRequest) {
            link.send(new TableDocument(mCommitted.tableVersion(), mCommitted.tableDocument()));
        } else if (message instanceof Voters voters) {
            voters.members().forEach(this::learn);
        } else if (!mRetries.received(link, message)
                && !mStreams.received(link, message)
                && !mTunnels.received(link, message)
                && !mSharedState.received(link, message)) {
            mRecords.received(message);
        }
    }

    private void onClosed(Link link) {
        mLinks.closed(link);
        mTunnels.closed(link);
    }

    /** Ticks the replica first: if this process was suspended, another voter may lead by now. */
    private void onQuotaRequest(Link link, QuotaRequestMessage message) {
        long nowNanos = mClock.nanoTime();
        mReplica.tick(nowNanos);
        link.send(mQuota.answer(message, nowNanos));
    }

    private void onRegistrationsAck(Link link, RegistrationsAck held) {
        Optional<HostPort> sender = mLinks.voterAddress(link);
        if (sender.isPresent() && isMember(sender.get())) {
            mDepartures.acknowledge(held.number(), sender.get(), mReplica.state().quorum());
        }
    }

    /** Returns whether an address is a voter's; non-voting replicas are linked too. */
    private boolean isMember(HostPort address) {
        return mReplica.state().members().stream()
                .anyMatch(member -> HostPort.parse(member.address()).equals(address));
    }

    private void onGreeting(Link link, Greeting greeting) {
        if (greeting.protocol() != PROTOCOL) {
            LOG.warn(
                    "closing the link to %s: unsupported protocol version %d",
                    greeting.node(), greeting.protocol());
            link.close();
            return;
        }
        // An entry must have quarantines and limits before a table that it serves from.
        mRecords.sendAllTo(link, greeting);
        if (greeting.voter() == null) {
            mLinks.entryGreeted(link, greeting);
            mTunnels.entryGreeted(link, greeting);
            link.send(new Voters(mLinks.membersWith(mSelf)));
            link.send(notice());
        } else {
            mLinks.voterGreeted(link, greeting);
            learn(greeting.voter());
            link.send(new Voters(mLinks.membersWith(mSelf)));
        }
        link.send(new Registrations(0, mRegistry.all()));
        if (greeting.voter() == null) {
            resendDepartures(link);
        }
    }

    /**
     * Sends an entry that was disconnected the departures without a known start time. Done only in
     * contact with a quorum: this voter then knows of upstreams that have restarted since, and
     * their departures are not among these.
     */
    private void resendDepartures(Link entry) {
        List<Registration> departures = mRegistry.departuresWithoutStartTime();
        if (mReplica.hasQuorumContact() && !departures.isEmpty()) {
            entry.send(new Registrations(PendingDepartures.UNTRACKED, departures));
        }
    }

    private void onReplication(Replication replication) {
        learn(replication.sender());
        mReplica.receive(replication.message(), replication.sender(), mClock.nanoTime());
        logRoleChange();
    }

    private void learn(Member member) {
        if (mLinks.learn(member, mClock.nanoTime())) {
            Voters voters = new Voters(mLinks.membersWith(mSelf));
            mLinks.sendToVoters(voters);
            mLinks.sendToEntries(voters);
        }
    }

    private void onRegistrations(Link link, Registrations registrations) {
        long nowNanos = mClock.nanoTime();
        for (Registration registration : registrations.registrations()) {
            Optional<Registration> changed =
                    registrations.isDeparture()
                            ? mRegistry.mergeDeparture(registration, nowNanos)
                            : mRegistry.merge(registration, nowNanos);
            changed.ifPresent(this::forward);
        }
        if (registrations.isDeparture()) {
            link.send(new RegistrationsAck(registrations.number()));
        }
    }

    private TableNotice notice() {
        return new TableNotice(
                mCommitted.tableVersion(), mReplica.hasQuorumContact(), mLinks.entries());
    }

    // ---- Periodic tasks

    private void tick() {
        mReplica.tick(mClock.nanoTime());
        mQuota.tick(mClock.nanoTime());
        logRoleChange();
        mStages.tick(mClock.nanoTime());
        if (mHadQuorumContact != mReplica.hasQuorumContact()) {
            mHadQuorumContact = mReplica.hasQuorumContact();
            LOG.info("quorum %s", mHadQuorumContact ? "regained" : "lost");
            mLinks.sendToEntries(notice());
        }
    }

    private void logRoleChange() {
        if (mLastRole != mReplica.role()) {
            mLastRole = mReplica.role();
            LOG.info("role %s in term %d", mLastRole, mReplica.term());
        }
    }

    private void runMaintenance() {
        long nowNanos = mClock.nanoTime();
        mLinks.forgetSilentPeers(mReplica.state().members(), nowNanos);
        mRegistry.removeExpired(nowNanos);
        mRecords.forgetEnded(mRegistry);
        mStreams.removeExpired();
        mQuota.logUses();
        mRetries.runMaintenance();
        mLinks.sendToEntries(notice());
        if (!mUnsent.isEmpty()) {
            mLinks.sendToVoters(new Registrations(0, List.copyOf(mUnsent.values())));
            mUnsent.clear();
        }
    }

    private void onPersisted(StateWrite write) {
        mTasks.post(
                () -> mReplica.persisted(write.number(), write.state().entry(), mClock.nanoTime()));
    }

    @Override
    public void close() {
        mServer.close();
        mTasks.close();
        mSharedState.close();
        mPersister.close();
        mRecords.close();
        mLinks.close();
    }

    private final class Effects implements ReplicaEffects {
        @Override
        public void send(Member to, ReplicaMessage message) {
            mLinks.send(to, new Replication(mSelf, message));
        }

        @Override
        public void announce(ReplicaMessage message) {
            mLinks.sendToVoters(new Replication(mSelf, message));
        }

        @Override
        public void persist(long number, DurableState state) {
            mPersister.persist(new StateWrite(number, state));
        }

        @Override
        public void committed(EntryId entry, GroupState state) {
            boolean changed = state.tableVersion() != mCommitted.tableVersion();
            boolean voters = !state.members().equals(mCommitted.members());
            mCommitted = state;
            if (changed) {
                LOG.info("table %d committed as consensus entry %s", state.tableVersion(), entry);
                mLinks.sendToEntries(notice());
                if (mGate != null) {
                    parseTable(mGate, state);
                }
            }
            if (voters) {
                LOG.info("voters are now %s", state.members());
                state.members().forEach(VoterNode.this::learn);
            }
        }
    }
}
