/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.routing.Candidate;
import org.orchidmount.routing.Decision;
import org.orchidmount.routing.DecisionInput;
import org.orchidmount.routing.PromptBlocks;
import org.orchidmount.routing.UpstreamView;
import org.orchidmount.table.PoolRole;
import org.orchidmount.table.PoolRow;
import org.orchidmount.table.Table;
import org.orchidmount.table.UpstreamRow;
import org.orchidmount.upstream.EngineReport;

/**
 * The shared state that controllers read and write: upstreams, reservations and the wait queue.
 *
 * <p>Invariants: everything here is guarded by one lock of rank {@link LockRank#BOARD}; what leaves
 * it is immutable; a decision and its reservations are made under one hold of the lock. An upstream
 * that has left the table stays until its last reservation is released. Thread-safe.
 */
public final class Blackboard {
    private static final PartLog LOG = PartLog.of("board");

    private final OrderedLock mLock = new OrderedLock(LockRank.BOARD);
    private final MonotonicClock mClock;
    private final String mZone;
    private final Map<String, UpstreamSlot> mSlots = new HashMap<>();
    private final Reservations mReservations = new Reservations(mSlots);
    private final WaitQueue mQueue = new WaitQueue();
    private Table mTable = Table.empty();
    private long mTurn;

    /**
     * Creates an empty board.
     *
     * @param clock ages hints and circuits
     * @param zone the availability zone of this instance
     */
    public Blackboard(MonotonicClock clock, String zone) {
        mClock = clock;
        mZone = zone;
    }

    /**
     * Takes over a new revision of the table.
     *
     * @param table the table
     */
    public void applyTable(Table table) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (table.revision() < mTable.revision()) {
                return;
            }
            mTable = table;
            Map<String, UpstreamSlot> previous = new HashMap<>(mSlots);
            mSlots.clear();
            for (UpstreamRow row : table.rows(UpstreamRow.class)) {
                UpstreamSlot slot = previous.get(row.name());
                if (slot == null) {
                    slot = new UpstreamSlot(row);
                }
                slot.setRow(row);
                mSlots.put(row.name(), slot);
            }
        }
    }

    /**
     * Returns the table last taken over.
     *
     * @return the table
     */
    public Table table() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mTable;
        }
    }

    /**
     * Adds a request to the queue.
     *
     * @param ticket the request
     */
    public void enqueue(Ticket ticket) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mQueue.add(ticket);
        }
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int queued() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mQueue.size();
        }
    }

    /**
     * Returns the number of waiting requests of a class.
     *
     * @param requestClass the class
     * @return the number
     */
    public int queued(String requestClass) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mQueue.size(requestClass);
        }
    }

    /**
     * Takes waiting requests out of the queue, whatever their place.
     *
     * @param condition tells which
     * @return those taken out
     */
    public List<Ticket> removeQueued(Predicate<Ticket> condition) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mQueue.removeIf(condition);
        }
    }

    /**
     * Offers the waiting requests in fair order to a decider, and reserves what it decides.
     *
     * @param decider decides under the board's lock, so it must neither block nor do I/O
     * @return the requests that left the queue, each with its verdict
     */
    public List<Decided> dispatch(Decider decider) {
        List<Decided> decided = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            mSlots.values().forEach(slot -> slot.tick(nowNanos));
            mQueue.offer(
                    ticket -> {
                        Decision decision = decider.decide(ticket, input(ticket, nowNanos), mTable);
                        Ticket.Verdict verdict = verdict(ticket, decision, nowNanos);
                        if (verdict == null) {
                            return false;
                        }
                        decided.add(new Decided(ticket, verdict));
                        return true;
                    });
        }
        return decided;
    }

    private Ticket.Verdict verdict(Ticket ticket, Decision decision, long nowNanos) {
        return switch (decision) {
            case Decision.Wait _ -> null;
            case Decision.Refuse refuse -> new Ticket.Verdict.Refused(refuse);
            case Decision.Place place ->
                    new Ticket.Verdict.Placed(
                            place, mReservations.reserve(ticket, place, nowNanos));
        };
    }

    private DecisionInput input(Ticket ticket, long nowNanos) {
        return new DecisionInput(
                ticket.info(),
                candidates(ticket, ticket.model().prefillPool(), true, nowNanos),
                candidates(ticket, ticket.model().decodePool(), false, nowNanos),
                mZone,
                mTurn++,
                nowNanos);
    }

    /** Lists a pool's engines; those that failed the request before only if no other is usable. */
    private List<Candidate> candidates(
            Ticket ticket, String pool, boolean withHints, long nowNanos) {
        List<UpstreamRow> rows = mTable.upstreamsOf(pool);
        List<Candidate> candidates = new ArrayList<>(rows.size());
        List<Candidate> excluded = new ArrayList<>();
        boolean usable = false;
        for (UpstreamRow row : rows) {
            UpstreamSlot slot = mSlots.get(row.name());
            int cachedBlocks =
                    withHints ? slot.hints().cachedBlocks(ticket.blocks().hashes(), nowNanos) : 0;
            Candidate candidate =
                    new Candidate(slot.view(), cachedBlocks * PromptBlocks.BLOCK_TOKENS);
            boolean failedBefore = ticket.excluded().contains(row.name());
            (failedBefore ? excluded : candidates).add(candidate);
            usable |= !failedBefore && candidate.upstream().available();
        }
        if (!usable) {
            candidates.addAll(excluded);
        }
        return candidates;
    }

    /**
     * Releases the prefill part after a prefill that worked, and learns from it.
     *
     * @param reservation the reservation
     * @param uncachedTokens the prompt tokens the engine had to process
     * @param durationNanos how long the call took
     */
    public void prefillDone(Reservation reservation, int uncachedTokens, long durationNanos) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mReservations.prefillDone(reservation, uncachedTokens, durationNanos);
        }
    }

    /**
     * Releases the share of the link once the first token shows that the transfer has ended.
     *
     * @param reservation the reservation
     */
    public void transferDone(Reservation reservation) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mReservations.transferDone(reservation);
        }
    }

    /**
     * Releases all that is still held. May be called more than once.
     *
     * @param reservation the reservation
     */
    public void release(Reservation reservation) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mReservations.release(reservation);
        }
    }

    /**
     * Chooses an instance of a plain service: the least loaded for its weight.
     *
     * @param pool the pool
     * @param excluded names not to take, because they failed already
     * @return the instance, counted as running until {@link #releasePlain}; empty if none is free
     */
    public Optional<Peer> acquirePlain(String pool, List<String> excluded) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            UpstreamSlot best = null;
            double bestLoad = Double.POSITIVE_INFINITY;
            List<UpstreamRow> rows = mTable.upstreamsOf(pool);
            int offset = rows.isEmpty() ? 0 : (int) (mTurn++ % rows.size());
            for (int i = 0; i < rows.size(); i++) {
                UpstreamSlot slot = mSlots.get(rows.get((i + offset) % rows.size()).name());
                slot.tick(nowNanos);
                UpstreamView view = slot.view();
                double load = (view.ownRunning() + 1.0) / view.weight();
                boolean usable = view.available() && view.hasSlot();
                if (usable && !excluded.contains(view.name()) && load < bestLoad) {
                    best = slot;
                    bestLoad = load;
                }
            }
            if (best == null) {
                return Optional.empty();
            }
            best.addRunning(1);
            return Optional.of(best.peer());
        }
    }

    /**
     * Ends the use of an instance of a plain service.
     *
     * @param peer the instance
     */
    public void releasePlain(Peer peer) {
        try (OrderedLock.Held _ = mLock.hold()) {
            UpstreamSlot slot = mSlots.get(peer.name());
            if (slot != null) {
                slot.addRunning(-1);
            }
        }
    }

    /**
     * Notes that an upstream takes nothing for a time.
     *
     * @param upstream the upstream's name
     * @param length the time from now on
     */
    public void paused(String upstream, Duration length) {
        try (OrderedLock.Held _ = mLock.hold()) {
            UpstreamSlot slot = mSlots.get(upstream);
            if (slot != null) {
                slot.pause(mClock.nanoTime() + length.toNanos());
            }
        }
        LOG.info("upstream %s takes nothing for %d ms", upstream, length.toMillis());
    }

    /**
     * Tells when the first upstream of a pool takes work that has asked for a pause.
     *
     * @param pool the pool
     * @return the time until then; zero if there is one that has asked for none
     */
    public Duration untilPauseEnds(String pool) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            long leastNanos =
                    mTable.upstreamsOf(pool).stream()
                            .mapToLong(row -> mSlots.get(row.name()).pauseLeftNanos(nowNanos))
                            .min()
                            .orElse(0);
            return Duration.ofNanos(leastNanos);
        }
    }

    /**
     * Takes over an engine's report.
     *
     * @param engine the engine's name
     * @param report the report
     */
    public void observeReport(String engine, EngineReport report) {
        try (OrderedLock.Held _ = mLock.hold()) {
            UpstreamSlot slot = mSlots.get(engine);
            if (slot != null) {
                slot.observeReport(report, mClock.nanoTime());
            }
        }
    }

    /**
     * Counts a call that an upstream answered.
     *
     * @param upstream the upstream's name
     */
    public void succeeded(String upstream) {
        try (OrderedLock.Held _ = mLock.hold()) {
            UpstreamSlot slot = mSlots.get(upstream);
            if (slot != null) {
                slot.succeeded();
            }
        }
    }

    /**
     * Counts a call that an upstream failed; several in a row take it out of use for a while.
     *
     * @param upstream the upstream's name
     */
    public void failed(String upstream) {
        boolean opened;
        try (OrderedLock.Held _ = mLock.hold()) {
            UpstreamSlot slot = mSlots.get(upstream);
            opened = slot != null && slot.failed(mClock.nanoTime());
            if (opened) {
                slot.hints().clear();
            }
        }
        if (opened) {
            LOG.warn("upstream %s fails; no new work for a while", upstream);
        }
    }

    /**
     * Returns the engines and the number of the last cache event seen of each.
     *
     * @return the engines of all prefill and decode pools
     */
    public List<Polled> engines() {
        try (OrderedLock.Held _ = mLock.hold()) {
            List<Polled> engines = new ArrayList<>();
            for (UpstreamSlot slot : mSlots.values()) {
                PoolRow pool = mTable.row(PoolRow.class, slot.row().pool()).orElseThrow();
                if (pool.role() != PoolRole.PLAIN) {
                    engines.add(new Polled(slot.peer(), slot.nextEvent()));
                }
            }
            return engines;
        }
    }

    /**
     * Finds where an upstream listens.
     *
     * @param name the upstream's name
     * @return its address, if it is in the table
     */
    public Optional<Peer> peer(String name) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return Optional.ofNullable(mSlots.get(name)).map(UpstreamSlot::peer);
        }
    }

    /**
     * Returns what is known of every upstream, in the order of their names.
     *
     * @return the views
     */
    public List<UpstreamView> upstreams() {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            return mTable.rows(UpstreamRow.class).stream()
                    .map(row -> mSlots.get(row.name()))
                    .peek(slot -> slot.tick(nowNanos))
                    .map(UpstreamSlot::view)
                    .toList();
        }
    }

    /**
     * A request that left the queue.
     *
     * @param ticket the request
     * @param verdict what becomes of it
     */
    public record Decided(Ticket ticket, Ticket.Verdict verdict) {}

    /**
     * An engine to be polled.
     *
     * @param engine the engine
     * @param eventsAfter the number of the last cache event seen
     */
    public record Polled(Peer engine, long eventsAfter) {}
}
