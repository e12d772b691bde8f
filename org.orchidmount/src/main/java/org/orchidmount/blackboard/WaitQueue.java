/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Waiting requests in weighted fair order.
 *
 * <p>Requests of one account, class and model form a flow, so that a model without room holds up no
 * other. Each flow's head carries the virtual time at which it would finish if the flows were
 * served in proportion to class weight times account weight; the smallest goes first. So a heavy
 * class overtakes a light one, yet no flow with a weight starves. The cost of a request is its
 * prompt and answer length. Not thread-safe: guarded by the board's lock.
 */
public final class WaitQueue {
    private final Map<FlowKey, Flow> mFlows = new HashMap<>();
    private final Map<String, Integer> mCountByClass = new HashMap<>();
    private double mVirtualTime;
    private int mSize;

    /**
     * Adds a ticket at the end of its flow.
     *
     * @param ticket the ticket
     */
    void add(Ticket ticket) {
        FlowKey key =
                new FlowKey(
                        ticket.requestClass().name(),
                        ticket.account().name(),
                        ticket.model().name());
        Flow flow = mFlows.computeIfAbsent(key, k -> new Flow());
        if (flow.mTickets.isEmpty()) {
            flow.mHeadTag = Math.max(mVirtualTime, flow.mLastTag) + cost(ticket);
        }
        flow.mTickets.addLast(ticket);
        mCountByClass.merge(key.requestClass(), 1, Integer::sum);
        mSize++;
    }

    /** Returns the number of waiting requests. */
    int size() {
        return mSize;
    }

    /** Returns the number of waiting requests of a class. */
    int size(String requestClass) {
        return mCountByClass.getOrDefault(requestClass, 0);
    }

    /**
     * Offers the heads of all flows in fair order; each taken head is followed by the next ticket
     * of its flow. A flow whose head is not taken is passed over for this round.
     *
     * @param taker returns true to take the ticket out of the queue
     */
    void offer(Predicate<Ticket> taker) {
        List<Flow> open = new ArrayList<>(mFlows.values());
        while (!open.isEmpty()) {
            Flow first = open.getFirst();
            for (Flow flow : open) {
                if (flow.mHeadTag < first.mHeadTag) {
                    first = flow;
                }
            }
            Ticket head = first.mTickets.peekFirst();
            if (head == null || !taker.test(head)) {
                open.remove(first);
                continue;
            }
            removeHead(first);
        }
        mFlows.values().removeIf(flow -> flow.mTickets.isEmpty() && flow.mLastTag <= mVirtualTime);
    }

    /**
     * Takes out every ticket that matches, wherever it stands.
     *
     * @param condition tells which
     * @return the tickets taken out
     */
    List<Ticket> removeIf(Predicate<Ticket> condition) {
        List<Ticket> removed = new ArrayList<>();
        for (Flow flow : mFlows.values()) {
            Iterator<Ticket> tickets = flow.mTickets.iterator();
            while (tickets.hasNext()) {
                Ticket ticket = tickets.next();
                if (condition.test(ticket)) {
                    tickets.remove();
                    removed.add(ticket);
                    countOut(ticket);
                }
            }
        }
        return removed;
    }

    private void removeHead(Flow flow) {
        Ticket taken = flow.mTickets.pollFirst();
        countOut(taken);
        mVirtualTime = Math.max(mVirtualTime, flow.mHeadTag);
        flow.mLastTag = flow.mHeadTag;
        Ticket next = flow.mTickets.peekFirst();
        if (next != null) {
            flow.mHeadTag = flow.mLastTag + cost(next);
        }
    }

    private void countOut(Ticket ticket) {
        mSize--;
        mCountByClass.computeIfPresent(
                ticket.requestClass().name(), (name, count) -> count == 1 ? null : count - 1);
    }

    private static double cost(Ticket ticket) {
        double tokens = ticket.info().promptTokens() + ticket.info().maxOutputTokens();
        return tokens / ((double) ticket.requestClass().weight() * ticket.account().weight());
    }

    private record FlowKey(String requestClass, String account, String model) {}

    private static final class Flow {
        private final Deque<Ticket> mTickets = new ArrayDeque<>();
        private double mHeadTag;
        private double mLastTag;
    }
}
