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
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.InFlightSequences;
import org.orchidmount.cluster.ClusterMessage.KeepAlive;
import org.orchidmount.cluster.ClusterMessage.QuotaRequest;
import org.orchidmount.cluster.ClusterMessage.QuotaReturn;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.cluster.ClusterMessage.RegistrationsHeld;
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
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registry;
import org.orchidmount.pacing.UpstreamPauses;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.RequestFingerprint;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.RouteTableParser;

/**
 * An instance that votes on the route table and passes registrations on.
 *
 * <p>Invariants: a change is answered as accepted only once it is synced at a quorum; a
 * registration that says an upstream leaves is answered only once a quorum holds it; what entries
 * are told is committed; units of a shared limit are granted only while it leads a quorum. All
 * state is confined to one thread; the public methods are thread-safe and answer by futures.
 */
public final class VoterNode implements AutoCloseable {
    /** The version of the protocol between instances. */
    static final int PROTOCOL = 2;

    private static final PartLog LOG = PartLog.of("voter");

    /** Pause between two ticks of the replica, a fraction of its timeouts. */
    private static final long TICK_MILLIS = 50;

    /** Pause between two notices of the table to all entries. */
    private static final long NOTICE_MILLIS = 1_000;

    /** Nanoseconds for which an upstream that has left is remembered. */
    private static final long REMEMBER_NANOS = Duration.ofMinutes(10).toNanos();

    private final TaskThread mTasks = new TaskThread("voter", LOG);
    private final MonotonicClock mClock;
    private final Member mSelf;
    private final Replica mReplica;
    private final Persister<StateWrite> mPersister;
    private final VoterLinks mLinks;
    private final LinkServer mServer;
    private final StageController mStages;
    private final Registry mRegistry = new Registry(REMEMBER_NANOS);
    private final PendingDepartures mDepartures = new PendingDepartures();
    private final VoterQuota mQuota;
    private final VoterRecords mRecords;
    private final GatheredSequences mSequences;

    /** Registrations received here since the other voters were last sent any. */
    private final Map<String, Registration> mReceived = new HashMap<>();

    /** Keeps registrations of unknown services apart; null if all services count as known. */
    private ServiceGate mGate;

    private GroupState mCommitted = new GroupState(List.of(), 0, new byte[0]);
    private boolean mHadQuorumContact;
    private Replica.Role mWasRole = Replica.Role.FOLLOWER;

    /** A state to be written, and the number by which the replica knows the write. */
    private record StateWrite(long number, DurableState state) {}

    private VoterNode(VoterConfig config, MonotonicClock clock) throws IOException {
        mClock = clock;
        StateFile file = StateFile.open(config.folder());
        DurableState durable = file.read().orElseGet(() -> FirstState.of(config));
        mSelf = new Member(durable.self(), config.address().toString(), config.controlAddress());
        Greeting greeting =
                new Greeting(PROTOCOL, config.node(), config.zone(), mSelf, Capability.own());
        Link.Handler handler = new LinkEvents();
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
        mSequences = new GatheredSequences(mLinks, mTasks);
        mServer = new LinkServer(config.address(), greeting, handler);
        mStages =
                new StageController(
                        config.stages(),
                        config.node(),
                        new UpstreamPauses(clock),
                        leaving -> mTasks.post(() -> leaves(leaving)));
        mQuota = new VoterQuota(mReplica, mSelf, config.firstStart(), clock.nanoTime());
        mTasks.every(TICK_MILLIS, this::tick);
        mTasks.every(NOTICE_MILLIS, this::refresh);
        LOG.info(
                "replica %s holds entry %s with table %d",
                mSelf.id(), durable.entry(), durable.state().tableVersion());
    }

    /**
     * Starts a voter.
     *
     * @param config how it is set up
     * @param clock the clock
     * @return the running voter
     * @throws IOException if its folder cannot be read or its address not bound
     */
    public static VoterNode start(VoterConfig config, MonotonicClock clock) throws IOException {
        return new VoterNode(config, clock);
    }

    // ---- operators

    /**
     * Puts a table in force if its version is higher than that held.
     *
     * @param version its version
     * @param document the checked table
     * @return the answer, in time or not at all
     */
    public CompletableFuture<TableAnswer> putTable(long version, byte[] document) {
        return ask(
                done -> {
                    GroupState newest = mReplica.state();
                    boolean same = version == newest.tableVersion();
                    if (version > newest.tableVersion()) {
                        LOG.info("table %d replaces %d", version, newest.tableVersion());
                        mReplica.propose(
                                newest.withTable(version, document),
                                committed -> done.accept(accepted(committed, version)));
                    } else if (same && !Arrays.equals(document, newest.tableDocument())) {
                        done.accept(new TableAnswer.Conflict(version));
                    } else {
                        mReplica.confirm(
                                confirmed ->
                                        done.accept(accepted(confirmed, newest.tableVersion())));
                    }
                });
    }

    private static TableAnswer accepted(boolean certain, long version) {
        return certain ? new TableAnswer.Accepted(version) : new TableAnswer.Unavailable();
    }

    /**
     * Reads the newest table, confirmed by a quorum.
     *
     * @return the answer, in time or not at all
     */
    public CompletableFuture<TableAnswer> readTable() {
        return ask(
                done ->
                        mReplica.confirm(
                                confirmed ->
                                        done.accept(
                                                confirmed
                                                        ? new TableAnswer.Current(
                                                                mCommitted.tableVersion(),
                                                                mCommitted.tableDocument())
                                                        : new TableAnswer.Unavailable())));
    }

    /** Runs a question on the leader, or names the leader. */
    private CompletableFuture<TableAnswer> ask(Consumer<Consumer<TableAnswer>> question) {
        CompletableFuture<TableAnswer> answer = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    if (mReplica.role() == Replica.Role.LEADER) {
                        question.accept(answer::complete);
                        return;
                    }
                    Optional<Member> leader =
                            mReplica.hasQuorumContact() ? mReplica.leader() : Optional.empty();
                    answer.complete(
                            leader.map(Member::controlAddress)
                                    .<TableAnswer>map(TableAnswer.AskLeader::new)
                                    .orElseGet(TableAnswer.Unavailable::new));
                });
        return answer;
    }

    /**
     * Returns the voters, as far as this one knows them to be committed.
     *
     * @return the voters, in time or not at all
     */
    public CompletableFuture<List<Member>> voters() {
        return ask(() -> mCommitted.members());
    }

    /**
     * Looks for voters at more addresses from now on.
     *
     * @param seeds cluster addresses of some voters
     */
    public void addSeeds(List<HostPort> seeds) {
        mTasks.post(() -> seeds.forEach(mLinks::dial));
    }

    // ---- crashes and limits of upstreams

    /**
     * Returns the requests that are not run, because upstreams have crashed under them.
     *
     * @return their records, in time or not at all
     */
    public CompletableFuture<List<CrashRecord>> quarantined() {
        return ask(mRecords.crashes()::quarantined);
    }

    /**
     * Lets a quarantined request run again, at all instances.
     *
     * @param fingerprint the request
     * @return true if it was quarantined
     */
    public CompletableFuture<Boolean> liftQuarantine(RequestFingerprint fingerprint) {
        return ask(() -> mRecords.crashes().lift(fingerprint));
    }

    /**
     * Returns the limits that upstreams state, as far as this voter knows them, and their use.
     *
     * @return the limits in force, in time or not at all
     */
    public CompletableFuture<List<UpstreamLimitUse>> upstreamLimits() {
        return ask(() -> mRecords.limits().uses(mQuota));
    }

    /** Has the voter's own thread answer a question. */
    private <T> CompletableFuture<T> ask(Supplier<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        mTasks.post(() -> answer.complete(question.get()));
        return answer;
    }

    // ---- upstreams

    /**
     * From now on holds no registration of a service that the table in force does not name.
     *
     * @param parser reads the table
     */
    public void requireNamedServices(RouteTableParser parser) {
        mTasks.post(
                () -> {
                    mGate = new ServiceGate(parser);
                    followServices(mGate, mCommitted);
                });
    }

    /**
     * Reads the table on another thread: the first takes some 0.3 s, longer than a leader's pause.
     */
    private void followServices(ServiceGate gate, GroupState state) {
        Thread.ofVirtual()
                .name("services")
                .start(
                        () ->
                                gate.read(state)
                                        .ifPresent(
                                                table -> mTasks.post(() -> follow(gate, table))));
    }

    private void follow(ServiceGate gate, RouteTable table) {
        registerNamed(gate.follow(table));
    }

    /** An upstream that is held goes on, also if the table has ceased to name its service. */
    private boolean hasToWait(Registration registration) {
        if (mGate == null || mGate.isNamed(registration.service())) {
            return false;
        }
        return mRegistry
                .find(registration.id())
                .filter(held -> held.service().equals(registration.service()))
                .isEmpty();
    }

    /** Takes registrations that have waited, in one message, however many they are. */
    private void registerNamed(List<Registration> named) {
        List<Registration> changed = new ArrayList<>();
        for (Registration registration : named) {
            hold(registration).ifPresent(changed::add);
        }
        if (!changed.isEmpty()) {
            forward(changed);
        }
    }

    /**
     * Takes what an upstream says of itself.
     *
     * @param registration the registration
     * @return true once it is known where it must be, false if this voter may be cut off
     */
    public CompletableFuture<Boolean> register(Registration registration) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    if (hasToWait(registration)) {
                        mGate.await(registration);
                        done.complete(mReplica.hasQuorumContact());
                        return;
                    }
                    Optional<Registration> changed = hold(registration);
                    if (isLeaving(registration)) {
                        replicateDeparture(
                                mRegistry.find(registration.id()).orElse(registration), done);
                        return;
                    }
                    changed.ifPresent(this::forward);
                    done.complete(mReplica.hasQuorumContact());
                });
        return done;
    }

    /** Returns the registration now held if it changed. */
    private Optional<Registration> hold(Registration registration) {
        long nowNanos = mClock.nanoTime();
        Optional<Registration> changed =
                isLeaving(registration)
                        ? mRegistry.depart(registration, nowNanos)
                        : mRegistry.merge(registration, nowNanos);
        changed.ifPresent(VoterNode::logChange);
        noteReceived(registration);
        return changed;
    }

    /** Takes what an engine has said in an answer to this voter. */
    private void leaves(Registration leaving) {
        mRegistry.merge(leaving, mClock.nanoTime()).ifPresent(this::forward);
    }

    private static boolean isLeaving(Registration registration) {
        return registration.state() != Registration.State.READY;
    }

    /** A late message of an earlier start must not keep back one of the start that is held. */
    private void noteReceived(Registration registration) {
        boolean isOfTheOneHeld =
                mRegistry
                        .find(registration.id())
                        .filter(held -> held.incarnation().equals(registration.incarnation()))
                        .isPresent();
        if (isOfTheOneHeld) {
            mReceived.put(registration.id(), registration);
        }
    }

    /**
     * Takes the word of an upstream that it leaves.
     *
     * @param id its identity
     * @return true once a quorum of the voters knows, false if this voter may be cut off
     */
    public CompletableFuture<Boolean> leave(String id) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    if (mGate != null) {
                        mGate.leave(id);
                    }
                    Registration gone = mRegistry.leave(id, mClock.nanoTime());
                    logChange(gone);
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
        done.whenComplete((held, error) -> mTasks.post(() -> mDepartures.end(number)));
        mLinks.sendToVoters(new Registrations(number, List.of(leaving)));
        // Without a start it ends what an entry knows only if it was just received.
        long entryNumber = leaving.incarnation().isStartStated() ? 0 : number;
        mLinks.sendToEntries(new Registrations(entryNumber, List.of(leaving)));
        mDepartures.complete(number, mReplica.state().quorum());
    }

    private void forward(Registration changed) {
        forward(List.of(changed));
    }

    private void forward(List<Registration> changed) {
        Registrations message = new Registrations(0, changed);
        mLinks.sendToVoters(message);
        mLinks.sendToEntries(message);
    }

    private static void logChange(Registration changed) {
        LOG.info(
                "upstream %s of %s at %s is %s, stage %s, sequence %d",
                changed.id(),
                changed.service(),
                changed.address(),
                changed.state(),
                changed.stage(),
                changed.sequence());
    }

    // ---- links

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
        } else if (message instanceof InFlightSequences announced) {
            mSequences.add(announced);
        } else if (message instanceof QuotaRequest request) {
            onQuotaRequest(link, request);
        } else if (message instanceof QuotaReturn units) {
            mQuota.giveBack(units, mClock.nanoTime());
        } else if (message instanceof Registrations registrations) {
            onRegistrations(link, registrations);
        } else if (message instanceof RegistrationsHeld held) {
            onRegistrationsHeld(link, held);
        } else if (message instanceof TableRequest) {
            link.send(new TableDocument(mCommitted.tableVersion(), mCommitted.tableDocument()));
        } else if (message instanceof Voters voters) {
            voters.members().forEach(this::learn);
        } else {
            mRecords.received(message);
        }
    }

    /** The replica looks at the clock first: after a pause of this process others may lead. */
    private void onQuotaRequest(Link link, QuotaRequest request) {
        long nowNanos = mClock.nanoTime();
        mReplica.tick(nowNanos);
        link.send(mQuota.answer(request, nowNanos));
    }

    private void onRegistrationsHeld(Link link, RegistrationsHeld held) {
        Optional<HostPort> sender = mLinks.voterAddress(link);
        if (sender.isPresent() && isMember(sender.get())) {
            mDepartures.held(held.number(), sender.get(), mReplica.state().quorum());
        }
    }

    /** A replica that does not vote yet, or no longer, is linked too. */
    private boolean isMember(HostPort address) {
        return mReplica.state().members().stream()
                .anyMatch(member -> HostPort.parse(member.address()).equals(address));
    }

    private void onGreeting(Link link, Greeting greeting) {
        if (greeting.protocol() != PROTOCOL) {
            LOG.warn(
                    "%s speaks protocol %d; its link is closed",
                    greeting.node(), greeting.protocol());
            link.close();
            return;
        }
        // An entry must know what it must not run or send before it has a table to serve by.
        mRecords.greet(link, greeting);
        if (greeting.voter() == null) {
            mLinks.entryGreeted(link, greeting);
            link.send(new Voters(knownVoters()));
            link.send(notice());
        } else {
            mLinks.voterGreeted(link, greeting);
            learn(greeting.voter());
            link.send(new Voters(knownVoters()));
        }
        link.send(new Registrations(0, mRegistry.all()));
        if (greeting.voter() == null) {
            repeatDepartures(link);
        }
    }

    /**
     * Tells an entry that was away of the departures of which no start is known. While this voter
     * has contact with a quorum, an upstream that has started again since is known to it, so that
     * its departure is not among them.
     */
    private void repeatDepartures(Link entry) {
        List<Registration> departures = mRegistry.departuresWithoutStart();
        if (mReplica.hasQuorumContact() && !departures.isEmpty()) {
            entry.send(new Registrations(PendingDepartures.NONE, departures));
        }
    }

    private void onReplication(Replication replication) {
        learn(replication.sender());
        mReplica.receive(replication.message(), replication.sender(), mClock.nanoTime());
        noteRole();
    }

    private void learn(Member member) {
        if (mLinks.learn(member, mClock.nanoTime())) {
            Voters voters = new Voters(knownVoters());
            mLinks.sendToVoters(voters);
            mLinks.sendToEntries(voters);
        }
    }

    private List<Member> knownVoters() {
        List<Member> known = mLinks.members();
        known.add(mSelf);
        return known;
    }

    private void onRegistrations(Link link, Registrations registrations) {
        long nowNanos = mClock.nanoTime();
        for (Registration registration : registrations.registrations()) {
            Optional<Registration> changed =
                    registrations.isDeparture()
                            ? mRegistry.depart(registration, nowNanos)
                            : mRegistry.merge(registration, nowNanos);
            changed.ifPresent(this::forward);
        }
        if (registrations.isDeparture()) {
            link.send(new RegistrationsHeld(registrations.number()));
        }
    }

    private TableNotice notice() {
        return new TableNotice(
                mCommitted.tableVersion(), mReplica.hasQuorumContact(), mLinks.entries());
    }

    // ---- time

    private void tick() {
        mReplica.tick(mClock.nanoTime());
        mQuota.tick(mClock.nanoTime());
        noteRole();
        orderStages();
        if (mHadQuorumContact != mReplica.hasQuorumContact()) {
            mHadQuorumContact = mReplica.hasQuorumContact();
            LOG.info("quorum %s", mHadQuorumContact ? "regained" : "lost");
            mLinks.sendToEntries(notice());
        }
    }

    private void orderStages() {
        long nowNanos = mClock.nanoTime();
        long term = mReplica.holdsQuorum() ? mReplica.term() : -1;
        long countedNanos = nowNanos - mStages.countedWithin().toNanos();
        long expectedNanos = nowNanos - mStages.expectedWithin().toNanos();
        List<Registration> current = mRegistry.heardBetween(countedNanos, nowNanos + 1);
        List<Registration> silent = mRegistry.heardBetween(expectedNanos, countedNanos);
        mStages.tick(term, current, silent, () -> stillLeads(term), nowNanos);
    }

    /** Tells, from another thread, whether this voter leads a quorum in a term. */
    private boolean stillLeads(long term) {
        CompletableFuture<Boolean> leads = new CompletableFuture<>();
        mTasks.post(
                () -> {
                    mReplica.tick(mClock.nanoTime());
                    leads.complete(mReplica.holdsQuorum() && mReplica.term() == term);
                });
        return leads.completeOnTimeout(false, TICK_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    private void noteRole() {
        if (mWasRole != mReplica.role()) {
            mWasRole = mReplica.role();
            LOG.info("role %s in term %d", mWasRole, mReplica.term());
        }
    }

    private void refresh() {
        long nowNanos = mClock.nanoTime();
        mLinks.forgetOld(mReplica.state().members(), nowNanos);
        mRegistry.forgetOld(nowNanos);
        mRecords.forgetEnded(mRegistry);
        mQuota.logUses();
        mLinks.sendToEntries(notice());
        if (!mReceived.isEmpty()) {
            mLinks.sendToVoters(new Registrations(0, List.copyOf(mReceived.values())));
            mReceived.clear();
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
        mPersister.close();
        mRecords.close();
        mLinks.close();
    }

    private final class LinkEvents implements Link.Handler {
        @Override
        public void received(Link link, ClusterMessage message) {
            if (!(message instanceof KeepAlive)) {
                mTasks.post(() -> onMessage(link, message));
            }
        }

        @Override
        public void closed(Link link) {
            mTasks.post(() -> mLinks.closed(link));
        }
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
                LOG.info("table %d is committed at %s", state.tableVersion(), entry);
                mLinks.sendToEntries(notice());
                if (mGate != null) {
                    followServices(mGate, state);
                }
            }
            if (voters) {
                LOG.info("voters are %s", state.members());
                state.members().forEach(VoterNode.this::learn);
            }
        }
    }
}
