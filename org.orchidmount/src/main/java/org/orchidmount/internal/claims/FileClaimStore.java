/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.claims;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.orchidmount.claims.ClaimKey;
import org.orchidmount.claims.ClaimResult;
import org.orchidmount.claims.ClaimStore;
import org.orchidmount.claims.RecordedAnswer;
import org.orchidmount.internal.file.RecordLog;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.internal.log.PartLog;

/**
 * The claims of one instance in a file.
 *
 * <p>Invariants: a claim is synced before it is granted. A claim that was granted by an earlier run
 * of the process and has no end is unknown, because that run may have sent the request. Claims are
 * kept for {@link #RETENTION}; a resend after that is a new request, as callers read in
 * docs/OPERATIONS.md. Thread-safe.
 */
public final class FileClaimStore implements ClaimStore, AutoCloseable {
    /** How long a claim is kept. */
    public static final Duration RETENTION = Duration.ofHours(24);

    private static final PartLog LOG = PartLog.of("claims");

    private final OrderedLock mLock = new OrderedLock(LockRank.CLAIMS);
    private final InstantSource mClock;
    private final Map<ClaimKey, Claim> mClaims = new HashMap<>();
    private final RecordLog mFile;

    /**
     * Opens the file and replays its claims.
     *
     * @param path the file; made if missing
     * @param clock tells the age of claims
     * @throws IOException if the file cannot be read or is damaged
     */
    public FileClaimStore(Path path, InstantSource clock) throws IOException {
        mClock = clock;
        mFile = RecordLog.open(path, this::replay);
        mClaims.replaceAll((key, claim) -> claim.afterRestart());
    }

    @Override
    public ClaimResult claim(ClaimKey key, String bodySha256) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Claim present = mClaims.get(key);
            Instant now = mClock.instant();
            boolean expired =
                    present != null
                            && !present.isRunning()
                            && present.since().plus(RETENTION).isBefore(now);
            if (present != null && !expired) {
                boolean same = present.bodySha256().equals(bodySha256);
                return same ? present.state() : new ClaimResult.Mismatch();
            }
            Claim claim =
                    new Claim(bodySha256, now, new ClaimResult.Running(new CompletableFuture<>()));
            try {
                mFile.append(encode(key, claim, new ClaimResult.Granted(key)));
            } catch (IOException e) {
                LOG.error("cannot write a claim", e);
                return new ClaimResult.Unavailable(e.toString());
            }
            mClaims.put(key, claim);
            return new ClaimResult.Granted(key);
        }
    }

    @Override
    public void done(ClaimKey key, RecordedAnswer answer) {
        end(key, new ClaimResult.Done(answer));
    }

    @Override
    public void release(ClaimKey key) {
        end(key, new ClaimResult.Released());
    }

    @Override
    public void unknown(ClaimKey key, String reason) {
        end(key, new ClaimResult.Unknown(reason));
    }

    @Override
    public void close() throws IOException {
        mFile.close();
    }

    private void end(ClaimKey key, ClaimResult state) {
        ClaimResult.Running running;
        try (OrderedLock.Held _ = mLock.hold()) {
            Claim claim = mClaims.get(key);
            if (claim == null || !(claim.state() instanceof ClaimResult.Running waiting)) {
                return;
            }
            running = waiting;
            Claim ended = new Claim(claim.bodySha256(), claim.since(), state);
            try {
                mFile.append(encode(key, ended, state));
            } catch (IOException e) {
                LOG.error("cannot write the end of a claim; it is unknown after a restart", e);
            }
            if (state instanceof ClaimResult.Released) {
                mClaims.remove(key);
            } else {
                mClaims.put(key, ended);
            }
        }
        running.end().complete(state);
    }

    private static byte[] encode(ClaimKey key, Claim claim, ClaimResult state) {
        ObjectNode json = Json.object();
        json.put("account", key.account());
        json.put("route", key.route());
        json.put("key", key.key());
        json.put("body", claim.bodySha256());
        json.put("since", claim.since().toString());
        switch (state) {
            case ClaimResult.Done done -> {
                json.put("state", "done");
                json.put("status", done.answer().status());
                json.put("contentType", done.answer().contentType());
                json.put("answer", done.answer().body());
                json.put("complete", done.answer().complete());
            }
            case ClaimResult.Unknown unknown -> {
                json.put("state", "unknown");
                json.put("reason", unknown.reason());
            }
            case ClaimResult.Released _ -> json.put("state", "released");
            default -> json.put("state", "claimed");
        }
        return Json.bytes(json);
    }

    private void replay(byte[] record, String place) throws IOException {
        JsonNode json = Json.parse(record);
        ClaimKey key =
                new ClaimKey(
                        json.path("account").asText(),
                        json.path("route").asText(),
                        json.path("key").asText());
        ClaimResult state =
                switch (json.path("state").asText()) {
                    case "done" -> new ClaimResult.Done(answer(json));
                    case "unknown" -> new ClaimResult.Unknown(json.path("reason").asText());
                    case "released" -> new ClaimResult.Released();
                    case "claimed" -> new ClaimResult.Running(new CompletableFuture<>());
                    default -> throw new IOException(place + " is damaged: unknown state");
                };
        if (state instanceof ClaimResult.Released) {
            mClaims.remove(key);
            return;
        }
        Instant since = Instant.parse(json.path("since").asText());
        mClaims.put(key, new Claim(json.path("body").asText(), since, state));
    }

    private static RecordedAnswer answer(JsonNode json) throws IOException {
        return new RecordedAnswer(
                json.path("status").asInt(),
                json.path("contentType").asText(),
                json.path("answer").binaryValue(),
                json.path("complete").asBoolean());
    }

    private record Claim(String bodySha256, Instant since, ClaimResult state) {
        boolean isRunning() {
            return state instanceof ClaimResult.Running;
        }

        Claim afterRestart() {
            if (!isRunning()) {
                return this;
            }
            String reason = "the instance stopped while the request was running";
            return new Claim(bodySha256, since, new ClaimResult.Unknown(reason));
        }
    }
}
