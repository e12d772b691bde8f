/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.orchidmount.internal.file.RecordLog;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.table.AuditRecord;
import org.orchidmount.table.Change;
import org.orchidmount.table.ChangeResult;
import org.orchidmount.table.RowCodec;
import org.orchidmount.table.Table;
import org.orchidmount.table.TableStore;

/**
 * The table of one instance in a file: one record for each accepted change.
 *
 * <p>Invariant: a change is synced to the disk before it is in force. A change that cannot be
 * written is answered as unavailable and leaves the table as it was. Thread-safe.
 */
public final class FileTableStore implements TableStore, AutoCloseable {
    private static final PartLog LOG = PartLog.of("table");

    private final OrderedLock mLock = new OrderedLock(LockRank.TABLE);
    private final InstantSource mClock;
    private final RecordLog mFile;
    private final List<AuditRecord> mAudit = new ArrayList<>();
    private final Map<String, Long> mRevisionByChange = new HashMap<>();
    private final List<Consumer<Table>> mListeners = new CopyOnWriteArrayList<>();
    private volatile Table mCurrent = Table.empty();

    private FileTableStore(Path path, InstantSource clock) throws IOException {
        mClock = clock;
        mFile = RecordLog.open(path, this::replay);
    }

    /**
     * Opens the file and replays its changes.
     *
     * @param path the file; made if missing
     * @param clock gives the times of the audit trail
     * @return the store
     * @throws IOException if the file cannot be read or is damaged; the message names file and
     *     offset
     */
    public static FileTableStore open(Path path, InstantSource clock) throws IOException {
        return new FileTableStore(path, clock);
    }

    @Override
    public Table current() {
        return mCurrent;
    }

    @Override
    public ChangeResult apply(Change change) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Long known = mRevisionByChange.get(change.id());
            if (known != null) {
                return new ChangeResult.Accepted(change.id(), known);
            }
            Table.Applied applied = mCurrent.apply(change);
            if (!(applied.result() instanceof ChangeResult.Accepted accepted)) {
                return applied.result();
            }
            AuditRecord entry = new AuditRecord(mClock.instant(), accepted.revision(), change);
            try {
                mFile.append(encode(entry));
            } catch (IOException e) {
                LOG.error("cannot write change " + change.id(), e);
                return new ChangeResult.Unavailable(change.id(), e.toString());
            }
            admit(entry, applied.table());
            LOG.info(
                    "change %s by %s is revision %d",
                    change.id(), change.author(), accepted.revision());
            return accepted;
        }
    }

    @Override
    public void addListener(Consumer<Table> listener) {
        mListeners.add(listener);
    }

    @Override
    public List<AuditRecord> audit(long afterRevision, int most) {
        try (OrderedLock.Held _ = mLock.hold()) {
            int from = Math.clamp(afterRevision, 0, mAudit.size());
            int to = (int) Math.min((long) from + most, mAudit.size());
            return List.copyOf(mAudit.subList(from, to));
        }
    }

    @Override
    public void close() throws IOException {
        mFile.close();
    }

    private void admit(AuditRecord entry, Table table) {
        mAudit.add(entry);
        mRevisionByChange.put(entry.change().id(), entry.revision());
        mCurrent = table;
        mListeners.forEach(listener -> listener.accept(table));
    }

    private static byte[] encode(AuditRecord entry) {
        ObjectNode json = Json.object();
        json.put("time", entry.time().toString());
        json.put("revision", entry.revision());
        json.set("change", RowCodec.json(entry.change()));
        return Json.bytes(json);
    }

    private void replay(byte[] record, String place) throws IOException {
        JsonNode json = Json.parse(record);
        JsonNode changeJson = json.path("change");
        Change change = RowCodec.change(changeJson, changeJson.path("author").asText());
        Table.Applied applied = mCurrent.apply(change);
        if (!(applied.result() instanceof ChangeResult.Accepted)) {
            throw new IOException(place + " is damaged: change " + change.id() + " does not apply");
        }
        Instant time = Instant.parse(json.path("time").asText());
        admit(new AuditRecord(time, applied.table().revision(), change), applied.table());
    }
}
