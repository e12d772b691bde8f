/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** The designs that are compared. */
final class QueueDesigns {
    private static final long ANNOUNCE_MILLIS = 250;
    private static final int ZONES = 3;

    private QueueDesigns() {}

    private static RoomRule.Decision decide(
            SimulatedRequest request,
            List<WaitingRequest> others,
            List<RoomForecast.Engine> engines,
            long nowMillis) {
        double intervalMillis = SimulatedQueue.SERVICE_MILLIS / (7.0 * engines.size());
        List<WaitingRequest> ahead =
                WaitOrder.ahead(others, request.waiting(nowMillis), intervalMillis);
        return RoomRule.decide(
                new RoomRule.Input(
                        request.sequence(0),
                        request.mUntilMillis - nowMillis,
                        request.availableTokens(),
                        ahead,
                        engines,
                        true));
    }

    /** As before: each entry searches for itself, and a new request waits 0.17 of its target. */
    static final class Polling implements QueueDesign {
        @Override
        public void arrived(SimulatedRequest request, long nowMillis) {}

        @Override
        public RoomRule.Decision decide(
                SimulatedRequest request, List<RoomForecast.Engine> engines, long nowMillis) {
            double waitMillis = (request.mIsRetry ? 2 : 0.17) * request.mTargetMillis;
            RoomRule.Decision decision =
                    QueueDesigns.decide(request, List.of(), engines, nowMillis);
            boolean isOver = nowMillis - request.mArrivedMillis > waitMillis;
            if (decision instanceof RoomRule.Decision.Place) {
                return decision;
            }
            return isOver
                    ? new RoomRule.Decision.Refuse(1.2 * SimulatedQueue.SERVICE_MILLIS)
                    : new RoomRule.Decision.Wait(0, Set.of());
        }

        @Override
        public void left(SimulatedRequest request, long nowMillis) {}

        @Override
        public boolean wakesOnEnds() {
            return false;
        }

        @Override
        public long messages() {
            return 0;
        }

        @Override
        public long busiestMessages() {
            return 0;
        }
    }

    /**
     * Design (a): entries announce their waiting requests. An announcement takes 15 to 30 ms; some
     * are lost.
     */
    static final class Announced implements QueueDesign {
        private final Map<String, Seen> mSeen = new HashMap<>();
        private final SplittableRandom mRandom = new SplittableRandom(5);
        private final Map<String, Map<String, Long>> mPlaceableSince = new HashMap<>();
        private final int mEntries;
        private final double mLostShare;
        private final Set<Long> mBatches = new HashSet<>();
        private long mAnnouncements;

        private record Seen(SimulatedRequest request, long fromMillis, long untilMillis) {}

        Announced(int entries, double lostShare) {
            mEntries = entries;
            mLostShare = lostShare;
        }

        @Override
        public void arrived(SimulatedRequest request, long nowMillis) {}

        private void announce(SimulatedRequest request, long nowMillis, boolean ended) {
            mAnnouncements++;
            mBatches.add(nowMillis / 8);
            if (mRandom.nextDouble() < mLostShare) {
                return;
            }
            long atMillis = nowMillis + 15 + mRandom.nextInt(16);
            Seen seen = mSeen.get(request.mId);
            long fromMillis = seen == null ? atMillis : Math.min(seen.fromMillis(), atMillis);
            long untilMillis = ended ? atMillis : atMillis + 700;
            mSeen.put(request.mId, new Seen(request, fromMillis, untilMillis));
        }

        @Override
        public RoomRule.Decision decide(
                SimulatedRequest request, List<RoomForecast.Engine> engines, long nowMillis) {
            mSeen.values().removeIf(seen -> seen.untilMillis() < nowMillis);
            Map<String, Long> placeable =
                    mPlaceableSince.computeIfAbsent(request.mId, id -> new HashMap<>());
            List<WaitingRequest> others = new ArrayList<>();
            for (Seen seen : mSeen.values()) {
                String id = seen.request().mId;
                boolean isPassed = nowMillis - placeable.getOrDefault(id, nowMillis) >= 100;
                boolean isOwn = seen.request().mEntry == request.mEntry;
                boolean isKnown = isOwn ? !seen.request().mHasLeft : seen.fromMillis() <= nowMillis;
                if (isKnown && !isPassed) {
                    others.add(seen.request().waiting(nowMillis));
                }
            }
            RoomRule.Decision decision = QueueDesigns.decide(request, others, engines, nowMillis);
            if (decision instanceof RoomRule.Decision.Wait wait) {
                wait.placeableAhead().forEach(id -> placeable.putIfAbsent(id, nowMillis));
                if (nowMillis - request.mAnnouncedMillis >= ANNOUNCE_MILLIS) {
                    request.mAnnouncedMillis = nowMillis;
                    announce(request, nowMillis, false);
                }
            }
            return decision;
        }

        @Override
        public void left(SimulatedRequest request, long nowMillis) {
            mPlaceableSince.remove(request.mId);
            if (request.mAnnouncedMillis >= 0) {
                announce(request, nowMillis, true);
            }
        }

        /** One to a voter of each zone, and one to each entry for each batch of 8 ms. */
        @Override
        public long messages() {
            return ZONES * mAnnouncements + (long) mEntries * mBatches.size();
        }

        @Override
        public long busiestMessages() {
            return mAnnouncements + (long) mEntries / ZONES * mBatches.size();
        }
    }

    /**
     * Design (b): the leading voter grants engines in order. Every request asks it, since an entry
     * does not know whether others wait. While it is gone, entries search for themselves.
     */
    static final class Owned implements QueueDesign {
        private static final long ROUND_TRIP_MILLIS = 20;
        private static final long GRANT_MILLIS = 60;

        private final Map<String, SimulatedRequest> mWaiting = new HashMap<>();
        private final Map<String, Granted> mGrants = new HashMap<>();
        private final QueueDesign mWithoutOwner = new Polling();
        private final long mGoneFromMillis;
        private final long mGoneUntilMillis;
        private long mMessages;

        private record Granted(SimulatedRequest request, String engine, long untilMillis) {}

        Owned(long goneFromMillis, long goneUntilMillis) {
            mGoneFromMillis = goneFromMillis;
            mGoneUntilMillis = goneUntilMillis;
        }

        private boolean isGone(long nowMillis) {
            return nowMillis >= mGoneFromMillis && nowMillis < mGoneUntilMillis;
        }

        @Override
        public void arrived(SimulatedRequest request, long nowMillis) {
            mWaiting.put(request.mId, request);
            mMessages++;
            request.mNextSearchMillis = nowMillis + ROUND_TRIP_MILLIS;
        }

        @Override
        public RoomRule.Decision decide(
                SimulatedRequest request, List<RoomForecast.Engine> engines, long nowMillis) {
            if (isGone(nowMillis)) {
                return mWithoutOwner.decide(request, engines, nowMillis);
            }
            if (nowMillis - request.mAnnouncedMillis >= ANNOUNCE_MILLIS) {
                request.mAnnouncedMillis = nowMillis;
                mMessages++;
            }
            mGrants.values().removeIf(grant -> grant.untilMillis() < nowMillis);
            List<RoomForecast.Engine> granted = new ArrayList<>();
            for (RoomForecast.Engine engine : engines) {
                RoomForecast.Engine one = engine;
                for (Granted grant : mGrants.values()) {
                    if (grant.engine().equals(engine.id())) {
                        one = one.with(grant.request().sequence(0));
                    }
                }
                granted.add(one);
            }
            List<WaitingRequest> others = new ArrayList<>();
            for (SimulatedRequest other : mWaiting.values()) {
                if (!mGrants.containsKey(other.mId)) {
                    others.add(other.waiting(nowMillis));
                }
            }
            RoomRule.Decision decision = QueueDesigns.decide(request, others, granted, nowMillis);
            if (decision instanceof RoomRule.Decision.Place place) {
                mMessages++;
                String engine = place.engines().iterator().next();
                mGrants.put(request.mId, new Granted(request, engine, nowMillis + GRANT_MILLIS));
                return new RoomRule.Decision.Place(Set.of(engine));
            }
            return decision;
        }

        @Override
        public void left(SimulatedRequest request, long nowMillis) {
            mWaiting.remove(request.mId);
            mMessages++;
        }

        @Override
        public long messages() {
            return mMessages;
        }

        @Override
        public long busiestMessages() {
            return mMessages;
        }
    }
}
