/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;

/**
 * A stand-in of an upstream that stutters: it sends an answer twice, the second time in the place
 * of the answer to a later call on the same connection. It speaks HTTP/1.1 over plain sockets,
 * because an HTTP server does not send what belongs to no call.
 *
 * <p>Invariants: a connection serves one call at a time, in their order; each call and each surplus
 * answer is recorded before the bytes that follow from it are sent. What is sent when follows from
 * events, not from time. Thread-safe; the handler is called on the thread of the connection.
 */
public final class StutteringUpstream implements AutoCloseable {
    private static final String LENGTH = "content-length";

    /** Idle connections may be kept longer than any test takes. */
    private static final String KEEP_ALIVE = "Keep-Alive: timeout=60\r\n";

    /** A caller that still waits for its own answer gets it after this. */
    private static final Duration PATIENCE = Duration.ofSeconds(1);

    private final Handler mHandler;
    private final ServerSocket mServer;
    private final Thread mAccepting;
    private final AtomicInteger mConnections = new AtomicInteger();
    private final List<Call> mCalls = new CopyOnWriteArrayList<>();
    private final List<Surplus> mSurpluses = new CopyOnWriteArrayList<>();
    private final Queue<Connection> mOpen = new ConcurrentLinkedQueue<>();

    /**
     * Starts on a free port of the loopback interface.
     *
     * @param handler answers the calls
     */
    public StutteringUpstream(Handler handler) {
        mHandler = handler;
        try {
            mServer = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException("no port", e);
        }
        mAccepting = Thread.ofVirtual().name("stutter-accept").start(this::accept);
    }

    /** Answers the calls. Must be thread-safe. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Answers a call.
         *
         * @param call the call
         * @return the answer
         * @throws InterruptedException if the upstream is closed
         */
        Answer answer(Call call) throws InterruptedException;
    }

    /**
     * A call as it came.
     *
     * @param connection the number of its connection, from 1
     * @param use which call on that connection it is, from 1
     * @param method the HTTP method
     * @param path path and query
     * @param fields the header fields, by their names in lower case
     * @param body the body without its framing
     */
    public record Call(
            int connection,
            int use,
            String method,
            String path,
            Map<String, String> fields,
            String body) {
        /** Copies the fields. */
        public Call {
            fields = Map.copyOf(fields);
        }

        /**
         * Returns a header field.
         *
         * @param name its name, in any case
         * @return its value, if the call has it
         */
        public Optional<String> field(String name) {
            return Optional.ofNullable(fields.get(name.toLowerCase(Locale.ROOT)));
        }
    }

    /** How the end of an answer's body is marked. */
    public enum Framing {
        /** By a length stated before. */
        LENGTH,
        /** By an empty chunk. */
        CHUNKED,
        /** By the end of the connection; such an answer is never sent twice. */
        CLOSE
    }

    /** When the surplus answer is sent. */
    public enum Moment {
        /** While the connection rests, when {@link #repeatAtRest} is called. */
        AT_REST,
        /** Once the later call has been read, and the true answer to that right behind. */
        IN_PLACE,
        /**
         * Once the later call has been read. The true answer follows when the caller has gone on:
         * it has made another call on the connection or closed it, or has waited for a while.
         */
        IN_PLACE_AND_LATE,
        /** Right behind the true answer to the later call. */
        BEHIND
    }

    /**
     * When an answer is sent a second time.
     *
     * @param moment the moment
     * @param meets tells of the call that was answered and a later one on its connection whether
     *     the surplus answer comes at the later one; the first of which it holds is taken
     */
    public record Stutter(Moment moment, BiPredicate<Call, Call> meets) {
        /**
         * Places the surplus answer by the number of calls.
         *
         * @param moment the moment
         * @param callsBetween calls on the connection that come between the two
         * @return the stutter
         */
        public static Stutter after(Moment moment, int callsBetween) {
            return new Stutter(moment, (of, at) -> at.use() == of.use() + callsBetween + 1);
        }
    }

    /**
     * An answer.
     *
     * @param status the status
     * @param fields the header fields, but for those of the framing
     * @param body the body
     * @param framing how its end is marked
     * @param stutter when it is sent a second time, if it is
     */
    public record Answer(
            int status,
            Map<String, String> fields,
            String body,
            Framing framing,
            Optional<Stutter> stutter) {
        /** Copies the fields. */
        public Answer {
            fields = Map.copyOf(fields);
        }

        /**
         * Makes an answer with a stated length and no further fields.
         *
         * @param status the status
         * @param body the body
         * @return the answer
         */
        public static Answer of(int status, String body) {
            return new Answer(status, Map.of(), body, Framing.LENGTH, Optional.empty());
        }

        /**
         * Returns a copy with a header field.
         *
         * @param name the field's name
         * @param value its value
         * @return the answer
         */
        public Answer with(String name, String value) {
            Map<String, String> more = new HashMap<>(fields);
            more.put(name, value);
            return new Answer(status, more, body, framing, stutter);
        }

        /**
         * Returns a copy that is framed in another way.
         *
         * @param other the framing
         * @return the answer
         */
        public Answer framed(Framing other) {
            return new Answer(status, fields, body, other, stutter);
        }

        /**
         * Returns a copy that is sent twice, the second time at the next call on its connection.
         *
         * @param moment the moment
         * @return the answer
         */
        public Answer twice(Moment moment) {
            return twice(Stutter.after(moment, 0));
        }

        /**
         * Returns a copy that is sent twice.
         *
         * @param when when it is sent the second time
         * @return the answer
         */
        public Answer twice(Stutter when) {
            return new Answer(status, fields, body, framing, Optional.of(when));
        }

        private byte[] bytes() {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Stated\r\n");
            fields.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            text.append(
                    switch (framing) {
                        case LENGTH ->
                                KEEP_ALIVE + "Content-Length: " + content.length + "\r\n\r\n";
                        case CHUNKED -> KEEP_ALIVE + "Transfer-Encoding: chunked\r\n\r\n";
                        case CLOSE -> "Connection: close\r\n\r\n";
                    });
            if (framing == Framing.CHUNKED && content.length > 0) {
                text.append(Integer.toHexString(content.length) + "\r\n" + body + "\r\n");
            } else {
                text.append(body);
            }
            if (framing == Framing.CHUNKED) {
                text.append("0\r\n\r\n");
            }
            return text.toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * A surplus answer that was sent.
     *
     * @param of the call whose answer it repeats
     * @param at the call at which it was sent; that of the answer itself if the connection rested
     * @param moment when it was sent
     */
    public record Surplus(Call of, Call at, Moment moment) {
        /** Returns the use of the connection that can meet it. */
        private int metAtUse() {
            boolean atNext = moment == Moment.BEHIND || moment == Moment.AT_REST;
            return atNext ? at.use() + 1 : at.use();
        }
    }

    /**
     * Returns the port bound.
     *
     * @return the TCP port
     */
    public int port() {
        return mServer.getLocalPort();
    }

    /**
     * Returns where it listens.
     *
     * @return host and port
     */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /**
     * Returns the calls that have been read, in the order in which they were.
     *
     * @return a copy
     */
    public List<Call> calls() {
        return List.copyOf(mCalls);
    }

    /**
     * Returns the surplus answers that have been sent.
     *
     * @return a copy
     */
    public List<Surplus> surpluses() {
        return List.copyOf(mSurpluses);
    }

    /**
     * Returns the calls that came on a connection after one of its calls could meet a surplus
     * answer. A call that is made while a surplus answer is still on its way counts as that one.
     *
     * @return the calls, in order
     */
    public List<Call> callsAfterSurplus() {
        return mCalls.stream().filter(this::isAfterSurplus).toList();
    }

    private boolean isAfterSurplus(Call call) {
        return mSurpluses.stream()
                .filter(surplus -> surplus.at().connection() == call.connection())
                .anyMatch(surplus -> surplus.metAtUse() < call.use());
    }

    /**
     * Returns how many connections were accepted.
     *
     * @return a count of connections
     */
    public int connectionCount() {
        return mConnections.get();
    }

    /**
     * Returns how many connections are open.
     *
     * @return a count of connections
     */
    public int openCount() {
        return mOpen.size();
    }

    /**
     * Sends the surplus answers that are due while their connections rest. None is sent on one that
     * its caller has closed.
     *
     * @return how many were sent
     */
    public int repeatAtRest() {
        return mOpen.stream().mapToInt(Connection::repeatAtRest).sum();
    }

    /**
     * Tells whether it has ended.
     *
     * @return true after {@link #close}
     */
    public boolean isClosed() {
        return mServer.isClosed();
    }

    /** Ends it as the end of a process does: once a connection breaks, nothing listens any more. */
    @Override
    public void close() {
        closeQuietly(mServer);
        ListenerEnd.await(mAccepting);
        mOpen.forEach(Connection::close);
    }

    private void accept() {
        while (true) {
            try {
                Connection connection =
                        new Connection(mServer.accept(), mConnections.incrementAndGet());
                mOpen.add(connection);
                connection.start();
            } catch (IOException e) {
                // Only the end of the upstream closes its socket.
                return;
            }
        }
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            throw new AssertionError("a socket cannot be closed", e);
        }
    }

    /** What the reader of a connection found: a call, or nothing at its end. */
    private record Read(Optional<Call> call) {}

    /** An answer that is to be sent again. */
    private record Due(Call of, byte[] bytes, Stutter stutter) {}

    /**
     * One connection. A thread reads the calls, so that another that serves them can wait for what
     * the caller does next.
     */
    private final class Connection {
        private final Socket mSocket;
        private final int mNumber;
        private final BlockingQueue<Read> mReads = new LinkedBlockingQueue<>();
        private final Deque<Read> mPeeked = new ArrayDeque<>();
        private final Queue<Due> mDue = new ConcurrentLinkedQueue<>();
        private final Thread mServing =
                Thread.ofVirtual().name("stutter-serve").unstarted(this::serve);

        /** Set once the answers come one call late; they do so to the connection's end. */
        private boolean mIsBehind;

        Connection(Socket socket, int number) {
            mSocket = socket;
            mNumber = number;
        }

        void start() {
            mServing.start();
            Thread.ofVirtual().name("stutter-read").start(this::read);
        }

        void close() {
            closeQuietly(mSocket);
            mServing.interrupt();
        }

        private void read() {
            try {
                InputStream in = new BufferedInputStream(mSocket.getInputStream());
                for (int use = 1; ; use++) {
                    Call call = readCall(in, use);
                    mCalls.add(call);
                    mReads.add(new Read(Optional.of(call)));
                }
            } catch (IOException e) {
                // The caller has closed the connection, or a test has ended.
                mOpen.remove(this);
                mReads.add(new Read(Optional.empty()));
            }
        }

        private Call readCall(InputStream in, int use) throws IOException {
            String[] first = line(in).split(" ");
            Map<String, String> fields = new HashMap<>();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
                fields.put(name, line.substring(colon + 1).strip());
            }
            return new Call(mNumber, use, first[0], first[1], fields, body(in, fields));
        }

        private static String body(InputStream in, Map<String, String> fields) throws IOException {
            if (fields.containsKey(LENGTH)) {
                return text(in, Integer.parseInt(fields.get(LENGTH)));
            }
            StringBuilder body = new StringBuilder();
            boolean chunked = fields.containsKey("transfer-encoding");
            while (chunked) {
                int bytes = Integer.parseInt(line(in), 16);
                body.append(text(in, bytes));
                line(in);
                chunked = bytes > 0;
            }
            return body.toString();
        }

        private static String text(InputStream in, int bytes) throws IOException {
            byte[] content = in.readNBytes(bytes);
            if (content.length < bytes) {
                throw new EOFException("the connection ended within a body");
            }
            return new String(content, StandardCharsets.UTF_8);
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new EOFException("the connection ended");
                }
                if (b != '\r') {
                    line.write(b);
                }
            }
            return line.toString(StandardCharsets.UTF_8);
        }

        private void serve() {
            try (mSocket) {
                for (Read read = next(); read.call().isPresent(); read = next()) {
                    Call call = read.call().get();
                    Answer answer = mHandler.answer(call);
                    send(call, answer);
                    if (answer.framing() == Framing.CLOSE) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The caller has closed the connection instead of waiting for its answer.
                mOpen.remove(this);
            } catch (InterruptedException e) {
                // The upstream is closed.
                mOpen.remove(this);
            }
        }

        private Read next() throws InterruptedException {
            return mPeeked.isEmpty() ? mReads.take() : mPeeked.poll();
        }

        /** Waits until the caller has made another call or has closed the connection. */
        private void awaitCallerGoesOn() throws InterruptedException {
            if (mPeeked.isEmpty()) {
                Read read = mReads.poll(PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
                if (read != null) {
                    mPeeked.add(read);
                }
            }
        }

        private void send(Call call, Answer answer) throws IOException, InterruptedException {
            ByteArrayOutputStream before = new ByteArrayOutputStream();
            ByteArrayOutputStream behind = new ByteArrayOutputStream();
            for (Due due : takeDue(call)) {
                mSurpluses.add(new Surplus(due.of(), call, due.stutter().moment()));
                boolean isBehind = due.stutter().moment() == Moment.BEHIND;
                (isBehind ? behind : before).writeBytes(due.bytes());
                mIsBehind |= due.stutter().moment() == Moment.IN_PLACE_AND_LATE;
            }
            byte[] bytes = answer.bytes();
            answer.stutter().ifPresent(s -> mDue.add(new Due(call, bytes, s)));
            if (mIsBehind) {
                write(before.toByteArray());
                before.reset();
                awaitCallerGoesOn();
            }
            before.writeBytes(bytes);
            behind.writeTo(before);
            write(before.toByteArray());
        }

        private List<Due> takeDue(Call at) {
            List<Due> taken =
                    mDue.stream()
                            .filter(due -> due.stutter().moment() != Moment.AT_REST)
                            .filter(due -> due.stutter().meets().test(due.of(), at))
                            .toList();
            mDue.removeAll(taken);
            return taken;
        }

        int repeatAtRest() {
            int sent = 0;
            try {
                for (Due due = mDue.poll(); due != null; due = mDue.poll()) {
                    write(due.bytes());
                    mSurpluses.add(new Surplus(due.of(), due.of(), Moment.AT_REST));
                    sent++;
                }
            } catch (IOException e) {
                // The caller has closed the connection, so nothing more can reach it there.
                mDue.clear();
            }
            return sent;
        }

        private void write(byte[] bytes) throws IOException {
            OutputStream out = mSocket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }
}
