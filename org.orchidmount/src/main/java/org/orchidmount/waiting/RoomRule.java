/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.orchidmount.routing.MemoryForecast;

/**
 * Decides whether a request may be placed, waits or is refused, given the requests ahead of it.
 * Pure.
 *
 * <p>Each request ahead is placed in order at an engine that has capacity now. The first that fits
 * nowhere now keeps the engine that is expected to be first to have capacity for it, because
 * smaller requests would otherwise take that capacity for ever; later requests use the remaining
 * engines. One that cannot be placed in its own remaining time will be refused and keeps nothing.
 *
 * <p>The time to capacity of the own request is that of the n-th of the events in which any engine
 * gets capacity, n counting the requests ahead that keep an engine, by their size. Such an event is
 * much sooner than the expected time of each single engine. A request is refused only if even an
 * early quantile of that time is too late.
 */
public final class RoomRule {
    /**
     * Requests ahead beyond this number are not planned, which bounds the time of a decision to
     * about 1 ms at 32 engines. The forecast is then too early, never too late.
     */
    private static final int MAX_PLANNED = 64;

    /**
     * Number of requests ahead that may keep an engine. If each of them kept one, all engines could
     * be kept at once, so that none took a smaller request.
     */
    private static final int MAX_KEPT = 1;

    /** Quantile of 10% of the normal distribution, in standard deviations below the mean. */
    private static final double EARLY_DEVIATIONS = 1.28;

    private RoomRule() {}

    /** What a request does. */
    public sealed interface Decision {
        /**
         * The request may be placed at one of the engines.
         *
         * @param engines ids of the engines that have capacity for it
         */
        record Place(Set<String> engines) implements Decision {}

        /**
         * The request waits.
         *
         * @param millis time to capacity
         * @param placeableAhead ids of the requests ahead that have capacity now
         */
        record Wait(double millis, Set<String> placeableAhead) implements Decision {}

        /**
         * The request cannot be in time.
         *
         * @param millis expected time to capacity
         */
        record Refuse(double millis) implements Decision {}
    }

    /**
     * A decision's input.
     *
     * @param ownSequence the request before its first output token
     * @param remainingMillis time in which it must find capacity to be in time
     * @param ownTokens the part of an engine's memory that the request may use
     * @param ahead the requests ahead of it, first to be placed first
     * @param engines the engines that accept work
     * @param isComplete whether nearly all sequences in flight are known; otherwise nothing is
     *     refused
     */
    public record Input(
            MemoryForecast.Sequence ownSequence,
            long remainingMillis,
            double ownTokens,
            List<WaitingRequest> ahead,
            List<RoomForecast.Engine> engines,
            boolean isComplete) {}

    /**
     * Decides.
     *
     * @param input the input
     * @return the decision
     */
    public static Decision decide(Input input) {
        Plan plan = new Plan(input.engines());
        plan.placeAhead(input.ahead());
        MemoryForecast.Sequence own = input.ownSequence();
        Set<String> engines = plan.enginesWithRoom(own, input.ownTokens());
        if (!engines.isEmpty()) {
            return new Decision.Place(engines);
        }
        double perMilli = plan.roomsPerMilli(own, input.ownTokens());
        double rooms = plan.roomsAhead(own) + 1;
        boolean isKnown = input.isComplete() && !input.engines().isEmpty();
        if (!isKnown || earlyRooms(rooms) / perMilli <= input.remainingMillis()) {
            return new Decision.Wait(rooms / perMilli, plan.mPlaceable);
        }
        return new Decision.Refuse(rooms / perMilli);
    }

    /**
     * Returns the number of events that take place with a probability of 10% in the time in which
     * one expects a given number of them (Wilson-Hilferty approximation of the gamma quantile).
     */
    private static double earlyRooms(double rooms) {
        double root = 1 - 1 / (9 * rooms) - EARLY_DEVIATIONS / (3 * Math.sqrt(rooms));
        return rooms * root * root * root;
    }

    private static MemoryForecast.Sequence sequence(WaitingRequest request) {
        return new MemoryForecast.Sequence(
                request.promptTokens(), 0, request.expectedTokens(), Integer.MAX_VALUE);
    }

    /** The engines with the requests ahead planned on them. */
    private static final class Plan {
        private final List<Node> mNodes = new ArrayList<>();
        private final Set<String> mPlaceable = new HashSet<>();
        private double mTokensAhead;
        private int mKept;

        Plan(List<RoomForecast.Engine> engines) {
            for (RoomForecast.Engine engine : engines) {
                mNodes.add(new Node(engine));
            }
        }

        void placeAhead(List<WaitingRequest> ahead) {
            for (WaitingRequest request : ahead.subList(0, Math.min(ahead.size(), MAX_PLANNED))) {
                place(request);
            }
        }

        private void place(WaitingRequest request) {
            MemoryForecast.Sequence sequence = sequence(request);
            for (Node node : mNodes) {
                if (node.hasRoom(sequence, node.memoryTokens())) {
                    node.place(sequence);
                    mPlaceable.add(request.id());
                    return;
                }
            }
            Node first = null;
            double firstMillis = RoomForecast.NEVER;
            double perMilli = 0;
            for (Node node : mNodes) {
                double millis = node.mForecast.millisToRoom(sequence, node.memoryTokens());
                perMilli += 1 / millis;
                if (millis < firstMillis) {
                    first = node;
                    firstMillis = millis;
                }
            }
            double rooms = roomsAhead(sequence) + 1;
            if (first != null && earlyRooms(rooms) / perMilli <= request.remainingMillis()) {
                first.mIsKept |= mKept++ < MAX_KEPT;
                mTokensAhead += RoomForecast.neededTokens(sequence);
            }
        }

        /** Returns the requests that keep an engine, as a multiple of the size of one request. */
        double roomsAhead(MemoryForecast.Sequence sequence) {
            return mTokensAhead / Math.max(1, RoomForecast.neededTokens(sequence));
        }

        Set<String> enginesWithRoom(MemoryForecast.Sequence sequence, double tokens) {
            Set<String> engines = new TreeSet<>();
            for (Node node : mNodes) {
                if (node.hasRoom(sequence, tokens)) {
                    engines.add(node.mForecast.engine().id());
                }
            }
            return engines;
        }

        /** Returns how often any engine gets capacity for a request of that size. */
        double roomsPerMilli(MemoryForecast.Sequence sequence, double tokens) {
            double perMilli = 0;
            for (Node node : mNodes) {
                perMilli += 1 / node.mForecast.millisToRoom(sequence, tokens);
            }
            return perMilli;
        }
    }

    /** An engine with what is planned on it. */
    private static final class Node {
        private RoomForecast mForecast;
        private boolean mIsKept;

        Node(RoomForecast.Engine engine) {
            mForecast = new RoomForecast(engine);
        }

        double memoryTokens() {
            return mForecast.engine().memoryTokens();
        }

        boolean hasRoom(MemoryForecast.Sequence sequence, double tokens) {
            return !mIsKept && mForecast.hasRoom(sequence, tokens);
        }

        void place(MemoryForecast.Sequence sequence) {
            mForecast = new RoomForecast(mForecast.engine().with(sequence));
        }
    }
}
