/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for an upstream that answers with bytes as a test likes: broken answers, answers that
 * end in each way, and answers that nobody asked for.
 *
 * <p>Each connection is served by a thread of its own, one request after another. Thread-safe.
 */
public final class RawUpstream implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    private final Script mScript;
    private final ServerSocket mServer;
    private final Thread mAccepting;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    /** What an upstream does with a request. */
    @FunctionalInterface
    public interface Script {
        /**
         * Answers a request, or does not.
         *
         * @param request the request, read whole
         * @param connection the connection on which it came
         * @throws IOException if the connection has ended; nothing more is read from it
         * @throws InterruptedException if the thread is interrupted
         */
        void serve(Request request, Connection connection) throws IOException, InterruptedException;
    }

    /**
     * A request.
     *
     * @param method the method
     * @param path the path and query
     * @param headers the header fields, their names in lower case
     * @param body the body
     */
    public record Request(String method, String path, Map<String, String> headers, String body) {
        /**
         * Returns a header field.
         *
         * @param name its name in any case
         * @return its value, or null
         */
        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** A connection of a caller. Used by one thread at a time. */
    public static final class Connection {
        private final Socket mSocket;
        private int mRequests;

        Connection(Socket socket) {
            mSocket = socket;
        }

        /**
         * Returns how many requests have come on this connection, this one included.
         *
         * @return the number
         */
        public int requests() {
            return mRequests;
        }

        /**
         * Writes text as it stands.
         *
         * @param text the text
         * @throws IOException if the connection breaks
         */
        public void send(String text) throws IOException {
            mSocket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            mSocket.getOutputStream().flush();
        }

        /**
         * Ends the connection in order.
         *
         * @throws IOException if that fails
         */
        public void end() throws IOException {
            mSocket.close();
        }

        /**
         * Resets the connection, as a process that crashes does.
         *
         * @throws IOException if that fails
         */
        public void reset() throws IOException {
            mSocket.setSoLinger(true, 0);
            mSocket.close();
        }
    }

    /**
     * Starts an upstream on a free port.
     *
     * @param script what it does with each request
     * @throws IOException if no port can be bound
     */
    public RawUpstream(Script script) throws IOException {
        this(0, script);
    }

    /**
     * Starts an upstream on a port, for example that of one that has ended.
     *
     * @param port the TCP port, 0 for a free one
     * @param script what it does with each request
     * @throws IOException if the port cannot be bound
     */
    public RawUpstream(int port, Script script) throws IOException {
        mScript = script;
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        mAccepting = Thread.ofVirtual().name("raw-upstream").start(this::accept);
    }

    /**
     * Returns the address.
     *
     * @return host and port
     */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /**
     * Returns the port bound.
     *
     * @return the TCP port
     */
    public int port() {
        return mServer.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                mSockets.add(socket);
                Thread.ofVirtual().name("raw-connection").start(() -> serve(socket));
            } catch (IOException e) {
                // The upstream was closed.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        Connection connection = new Connection(socket);
        try (socket) {
            InputStream in = socket.getInputStream();
            while (!socket.isClosed()) {
                Request request = read(in);
                connection.mRequests++;
                mScript.serve(request, connection);
            }
        } catch (IOException e) {
            // The caller has closed the connection, or the script has.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mSockets.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String[] lines = readHead(in).split("\r\n");
        String[] words = lines[0].split(" ");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, lines[i].substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return new Request(words[0], words[1], headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith(HEAD_END)) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the caller has closed the connection");
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.US_ASCII);
    }

    /** Stops listening, and then ends all connections. */
    @Override
    public void close() {
        try {
            mServer.close();
            ListenerEnd.await(mAccepting);
            for (Socket socket : mSockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("the upstream does not close", e);
        }
    }
}
