/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HexFormat;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.orchidmount.blackboard.Blackboard;
import org.orchidmount.blackboard.RequestBoard;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.clock.SuspensionClock;
import org.orchidmount.clock.SuspensionWatch;
import org.orchidmount.controller.Admission;
import org.orchidmount.controller.OrphanController;
import org.orchidmount.controller.ReportController;
import org.orchidmount.controller.WorkerPool;
import org.orchidmount.daemon.Daemon;
import org.orchidmount.internal.claims.FileClaimStore;
import org.orchidmount.internal.http.BodyMemory;
import org.orchidmount.internal.http.ConnectionCounters;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.internal.table.FileTableStore;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.internal.upstream.HttpEngineClient;
import org.orchidmount.limits.LocalLimits;
import org.orchidmount.limits.TokenBucketRetryBudget;
import org.orchidmount.quarantine.ConnectProbe;
import org.orchidmount.quarantine.ConnectionWatch;
import org.orchidmount.quarantine.CrashRegistry;
import org.orchidmount.quarantine.CrashReports;
import org.orchidmount.quarantine.RunLock;
import org.orchidmount.routing.BodyMemoryRule;
import org.orchidmount.routing.Policies;
import org.orchidmount.settings.Settings;
import org.orchidmount.upstream.EngineClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Wires the parts of an instance and runs its life cycle.
 *
 * <p>Invariant: a planned stop first turns readiness red, then refuses new work, then waits for
 * running requests, and only then closes the listeners. Thread-safe.
 */
public final class RunningDaemon implements Daemon {
    /** Suspensions of the machine count from then on; by then the start is over. */
    private static final Duration SUSPENSIONS_AFTER = Duration.ofSeconds(3);

    private static final PartLog LOG = PartLog.of("daemon");

    /** Threads of the controllers. */
    private static final int WORKERS = 2;

    /** Base-36 digits that hold the milliseconds of a start for decades. */
    private static final int INCARNATION_DIGITS = 11;

    /** I/O threads of calls to upstreams. */
    private static final int CLIENT_IO_THREADS = 2;

    /** Pause between two looks at what still runs. */
    private static final Duration POLL = Duration.ofMillis(20);

    /** The first pause between tries to cancel; it doubles with each. */
    private static final Duration CLEAN_FIRST_PAUSE = Duration.ofMillis(100);

    /** The longest pause between tries to cancel. */
    private static final Duration CLEAN_LONGEST_PAUSE = Duration.ofSeconds(5);

    /** How long broken-off requests may take to tell their callers. */
    private static final Duration LAST_WORDS = Duration.ofSeconds(2);

    private final Settings mSettings;
    private final FileTableStore mTable;
    private final FileClaimStore mClaims;
    private final XnioWorker mXnio;
    private final WorkerPool mWorkers = new WorkerPool(WORKERS);
    private final Parts mParts;
    private final ReportController mReports;
    private final OrphanController mOrphans;
    private final Readiness mReadiness;
    private final CallerFront mCallers;
    private final OperatorFront mOperators;
    private final AtomicBoolean mStopping = new AtomicBoolean();
    private final AtomicBoolean mHurry = new AtomicBoolean();
    private final AtomicBoolean mBrokenOff = new AtomicBoolean();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final CountDownLatch mStopped = new CountDownLatch(1);

    private RunningDaemon(Settings settings) throws IOException {
        mSettings = settings;
        SuspensionClock clock = new SuspensionClock();
        SuspensionWatch.start(clock, SUSPENSIONS_AFTER);
        Path folder = settings.dataFolder();
        mTable = FileTableStore.open(folder.resolve("table.log"), clock);
        mClaims = new FileClaimStore(folder.resolve("claims.log"), clock);
        if (settings.firstTable().isPresent()) {
            FirstTable.load(settings.firstTable().get(), mTable);
        }
        mXnio = Xnio.getInstance().createWorker(clientOptions());
        mParts = parts(clock);
        mReports =
                new ReportController(
                        mParts.board(),
                        mParts.engines(),
                        settings.upstreams().reportEvery(),
                        mParts.admission()::wake,
                        mWorkers);
        mOrphans =
                new OrphanController(
                        mParts.board(),
                        mParts.engines(),
                        clock,
                        settings.instance(),
                        mParts.incarnation(),
                        settings.upstreams().orphanGrace(),
                        mWorkers);
        mReadiness = new Readiness(mTable);
        OperatorTokens tokens = OperatorTokens.read(settings.operators().tokensFile());
        mOperators =
                bound(
                        "operators",
                        settings.operators().host(),
                        settings.operators().port(),
                        () ->
                                new OperatorFront(
                                        mParts, mReadiness, tokens, this::stopInBackground));
        mCallers =
                bound(
                        "callers",
                        settings.callers().host(),
                        settings.callers().port(),
                        () -> new CallerFront(mParts, mReadiness));
    }

    private Parts parts(MonotonicClock clock) throws IOException {
        MetricRegistry metrics = new MetricRegistry();
        String incarnation = HexFormat.of().toHexDigits(clock.millis(), INCARNATION_DIGITS);
        Settings.Upstreams upstreams = mSettings.upstreams();
        HttpConnections connections =
                new HttpConnections(
                        mXnio, clock, upstreams.connectTimeout(), EngineProtocol.REQUEST_ID);
        register(metrics, connections.counters());
        EngineClient engines =
                new HttpEngineClient(
                        connections, upstreams, mSettings.instance(), incarnation, metrics);
        Blackboard board = new Blackboard(clock, mSettings.zone());
        mTable.addListener(board::applyTable);
        board.applyTable(mTable.current());
        LocalLimits limits = new LocalLimits();
        Admission admission =
                new Admission(
                        board,
                        limits,
                        Policies.byName(mSettings.policy()),
                        clock,
                        new SplittableRandom(),
                        mWorkers,
                        metrics);
        return new Parts(
                mSettings,
                incarnation,
                clock,
                mTable,
                board,
                new RequestBoard(),
                limits,
                new TokenBucketRetryBudget(upstreams.retryPercent()),
                admission,
                engines,
                crashes(clock, metrics),
                connections,
                new EngineCleaner(engines, CLEAN_FIRST_PAUSE, CLEAN_LONGEST_PAUSE),
                mClaims,
                resumeTokens(mSettings, clock),
                bodies(clock, metrics),
                metrics);
    }

    /** Each instance has a table of its own, and knows only the crashes that it has seen itself. */
    private static CrashReports crashes(MonotonicClock clock, MetricRegistry metrics) {
        CrashReports crashes =
                new CrashReports(
                        new CrashRegistry(clock),
                        record -> {},
                        new ConnectProbe(),
                        new ConnectionWatch(new ConnectProbe()),
                        RunLock.UNCOORDINATED,
                        clock);
        metrics.gauge("request.quarantine.crashes", () -> crashes::crashCount);
        metrics.gauge("request.quarantine.refusals", () -> crashes::refusalCount);
        return crashes;
    }

    private BodyMemory bodies(MonotonicClock clock, MetricRegistry metrics) {
        BodyMemoryRule rule = mSettings.callers().bodyMemory();
        BodyMemory bodies = new BodyMemory(rule, clock, BodyMemory.MAX_WAIT);
        metrics.gauge("request.bodies.held_bytes", () -> bodies::heldBytes);
        metrics.gauge("request.bodies.most_held_bytes", () -> bodies::mostHeldBytes);
        metrics.gauge("request.bodies.waited", () -> bodies::waited);
        metrics.gauge("request.bodies.refused", () -> bodies::refused);
        return bodies;
    }

    private static void register(MetricRegistry metrics, ConnectionCounters counters) {
        metrics.gauge("upstream.connections.opened", () -> counters::openedCount);
        metrics.gauge("upstream.connections.reused", () -> counters::reusedCount);
        metrics.gauge("upstream.responses.surplus", () -> counters::surplusCount);
    }

    /**
     * Starts an instance.
     *
     * @param settings its settings
     * @return the running instance
     * @throws IOException if its files cannot be read or its addresses not bound
     */
    public static RunningDaemon start(Settings settings) throws IOException {
        RunningDaemon daemon = new RunningDaemon(settings);
        LOG.info(
                "instance %s in zone %s listens to callers on port %d, to operators on port %d",
                settings.instance(), settings.zone(), daemon.callerPort(), daemon.operatorPort());
        return daemon;
    }

    private static OptionMap clientOptions() {
        return OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, CLIENT_IO_THREADS)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, "upstream")
                .getMap();
    }

    private static ResumeTokens resumeTokens(Settings settings, MonotonicClock clock)
            throws IOException {
        byte[] key = ResumeTokens.key(Files.readString(settings.resume().keyFile()));
        return new ResumeTokens(key, settings.resume().valid(), clock);
    }

    private static <T> T bound(String listener, String host, int port, Opening<T> opening)
            throws IOException {
        try {
            return opening.open();
        } catch (RuntimeException e) {
            if (e.getCause() instanceof BindException || e.getCause() instanceof IOException) {
                String remedy =
                        "; stop the process that uses it or set another " + listener + ".port";
                throw new IOException(
                        "cannot listen to "
                                + listener
                                + " on "
                                + host
                                + ":"
                                + port
                                + ": "
                                + e.getCause().getMessage()
                                + remedy,
                        e);
            }
            throw e;
        }
    }

    @Override
    public int callerPort() {
        return mCallers.port();
    }

    @Override
    public int operatorPort() {
        return mOperators.port();
    }

    private void stopInBackground() {
        Thread.ofPlatform().name("stop").start(this::drainAndStop);
    }

    @Override
    public void drainAndStop() {
        if (mStopping.getAndSet(true)) {
            return;
        }
        LOG.info("planned stop begins");
        mReadiness.leave();
        mCallers.drain();
        waitFor(mSettings.drain().notice(), () -> mHurry.get());
        mParts.admission().stop();
        waitFor(mSettings.drain().limit(), () -> mHurry.get() || mCallers.isIdle());
        int left = mCallers.active();
        if (left > 0) {
            LOG.warn("%d requests are broken off", left);
            mBrokenOff.set(true);
            mParts.requests().cancelAll();
            waitFor(LAST_WORDS, mCallers::isIdle);
        }
        close();
        LOG.info("stopped with %d requests broken off", left);
    }

    @Override
    public void stopNow() {
        mHurry.set(true);
    }

    @Override
    public boolean awaitStop() throws InterruptedException {
        mStopped.await();
        return !mBrokenOff.get();
    }

    @Override
    public void close() {
        if (mClosed.getAndSet(true)) {
            return;
        }
        mCallers.close();
        mParts.cleaner().close();
        mReports.close();
        mOrphans.close();
        mOperators.close();
        mWorkers.close();
        mParts.connections().close();
        mXnio.shutdownNow();
        try {
            mTable.close();
            mClaims.close();
        } catch (IOException e) {
            LOG.error("cannot close a file", e);
        }
        mStopped.countDown();
    }

    private void waitFor(Duration longest, Condition condition) {
        long startNanos = mParts.clock().nanoTime();
        try {
            while (!condition.holds()
                    && mParts.clock().nanoTime() - startNanos < longest.toNanos()) {
                Thread.sleep(POLL);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @FunctionalInterface
    private interface Condition {
        boolean holds();
    }

    @FunctionalInterface
    private interface Opening<T> {
        T open() throws IOException;
    }
}
