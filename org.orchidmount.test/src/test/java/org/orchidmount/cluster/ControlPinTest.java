/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.consensus.DurableState;
import org.orchidmount.consensus.EntryId;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.consensus.Member;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.Pin;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.pacing.UpstreamPauses;
import org.orchidmount.routing.EngineStagePlan;

/** Frames, stored state and orders to engines stay as they were. */
final class ControlPinTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final String TABLE = "{\"version\":12}";
    private static final DurableState STATE =
            new DurableState(
                    "a/first",
                    3,
                    "b/first",
                    new EntryId(3, 9),
                    new GroupState(
                            List.of(new Member("a/first", "10.0.0.1:1", "10.0.0.1:2")),
                            9,
                            TABLE.getBytes()));

    @TempDir Path mFolder;

    @Test
    void framesStayAsTheyWere() {
        List<String> frames = new ArrayList<>();
        for (ClusterMessage message : ClusterCodecTest.messages()) {
            frames.add(HEX.formatHex(ClusterCodec.encode(message)));
        }
        frames.add(
                HEX.formatHex(
                        ClusterCodec.encode(
                                new ClusterMessage.TableDocument(12, TABLE.getBytes()))));
        Pin.check("cluster-frames.hex", frames);
    }

    @Test
    void pinnedFramesAreRead() throws IOException {
        List<ClusterMessage> read = new ArrayList<>();
        for (String frame : Pin.read("cluster-frames.hex")) {
            read.add(ClusterCodec.decode(HEX.parseHex(frame)));
        }
        assertThat(read.subList(0, read.size() - 1)).isEqualTo(ClusterCodecTest.messages());
        assertThat(read.getLast()).isInstanceOf(ClusterMessage.TableDocument.class);
    }

    @Test
    void theStateFileStaysAsItWas() throws IOException {
        StateFile file = StateFile.open(mFolder);
        file.write(STATE);
        byte[] written = Files.readAllBytes(mFolder.resolve("replica-a.state"));
        Pin.check("replica-state.hex", List.of(HEX.formatHex(written)));
    }

    @Test
    void aPinnedStateFileIsRead() throws IOException {
        byte[] pinned = HEX.parseHex(Pin.read("replica-state.hex").getFirst());
        Files.write(mFolder.resolve("replica-a.state"), pinned);
        assertThat(StateFile.open(mFolder).read()).hasValue(STATE);
    }

    @Test
    void engineStagesArePlannedAsTheyWere() {
        List<String> lines = new ArrayList<>();
        for (double share : new double[] {0.1, 0.22, 0.33, 0.5, 0.9}) {
            for (int engines = 1; engines <= 14; engines++) {
                for (int prefill = 0; prefill <= engines; prefill++) {
                    lines.add(plan(share, engines, prefill));
                }
            }
        }
        Pin.check("stage-plan.txt", lines);
    }

    private static String plan(double share, int engines, int prefill) {
        String change =
                new EngineStagePlan(share)
                        .next(engines(engines, prefill), List.of())
                        .map(due -> due.engine().id() + " to " + due.stage())
                        .orElse("none");
        return "share %s, %d of %d prefill: %s".formatted(share, prefill, engines, change);
    }

    @Test
    void ordersAreGivenWhenTheyWere() {
        List<String> lines = new ArrayList<>();
        for (StageOrderClient.Result result : StageOrderClient.Result.values()) {
            for (int prefill : new int[] {0, 1, 2, 4}) {
                lines.addAll(orders(result, prefill));
            }
        }
        Pin.check("stage-orders.txt", lines);
    }

    /** Plays 50 s of a leader whose engines do not follow its orders, with a new term at 30 s. */
    private static List<String> orders(StageOrderClient.Result result, int prefill) {
        List<String> lines = new ArrayList<>();
        AtomicReference<StageOrderClient.Order> given = new AtomicReference<>();
        StageController controller =
                new StageController(
                        new VoterConfig.StageOrderConfig(
                                Duration.ofMillis(3_000),
                                Duration.ofMillis(1_000),
                                0.33,
                                (order, stillHeld, statements) -> {
                                    given.set(order);
                                    return result;
                                }),
                        "voter-1",
                        new UpstreamPauses(new ManualClock()),
                        leaving -> {});
        for (long millis = 0; millis < 50_000; millis += 50) {
            long term = millis < 30_000 ? 7 : 8;
            controller.tick(term, engines(6, prefill), List.of(), () -> true, millis * 1_000_000);
            Await.until(
                    "order ended", Duration.ofSeconds(10), () -> !controller.isOrderInProgress());
            StageOrderClient.Order order = given.getAndSet(null);
            if (order != null) {
                lines.add(
                        "%s, %d of 6 prefill: at %d ms %s to %s, fence %d by %s"
                                .formatted(
                                        result,
                                        prefill,
                                        millis,
                                        order.engine().id(),
                                        order.stage(),
                                        order.fencingToken(),
                                        order.holder()));
            }
        }
        return lines;
    }

    private static List<Registration> engines(int engines, int prefill) {
        List<Registration> all = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            Stage stage = i < prefill ? Stage.PREFILL : Stage.DECODE;
            String zone = "zone-" + i % 3;
            all.add(
                    new Registration(
                            "e-" + i, "s", "10.0.0." + i + ":80", zone, 4, stage, State.READY, 1));
        }
        return all;
    }
}
