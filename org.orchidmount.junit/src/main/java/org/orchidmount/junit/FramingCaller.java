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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntConsumer;
import org.orchidmount.junit.FramedResponse.End;
import org.orchidmount.junit.FramedResponse.Framing;

/**
 * A caller of each {@link CallerKind} that tells whole responses from cut ones by their framing, as
 * RFC 9112 has it, and by nothing in their bodies. Used by one thread, except {@link #bodyBytes()}
 * and {@link #sendBytes}.
 */
public final class FramingCaller implements AutoCloseable {
    private static final int HEX = 16;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final CallerKind mKind;
    private final Socket mSocket;
    private final InputStream mIn;
    private volatile int mBodyBytes;

    /** Whether the last request asked for a head alone; set before its response is read. */
    private volatile boolean mIsHead;

    /**
     * Connects.
     *
     * @param kind the kind of the caller
     * @param host the address
     * @param port the port
     * @param timeout the longest wait for a part of a response
     * @throws IOException if that fails
     */
    public FramingCaller(CallerKind kind, String host, int port, Duration timeout)
            throws IOException {
        this(kind, host, port, timeout, 0);
    }

    /**
     * Connects with a receive buffer of a given size, so that little is on its way to a caller that
     * does not read.
     *
     * @param kind the kind of the caller
     * @param host the address
     * @param port the port
     * @param timeout the longest wait for a part of a response
     * @param receiveBufferBytes the size asked for; 0 for the system's own
     * @throws IOException if that fails
     */
    public FramingCaller(
            CallerKind kind, String host, int port, Duration timeout, int receiveBufferBytes)
            throws IOException {
        mKind = kind;
        mSocket = new Socket();
        if (receiveBufferBytes > 0) {
            mSocket.setReceiveBufferSize(receiveBufferBytes);
        }
        mSocket.connect(
                new InetSocketAddress(InetAddress.getByName(host), port), (int) timeout.toMillis());
        mSocket.setSoTimeout((int) timeout.toMillis());
        mSocket.setTcpNoDelay(true);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    /**
     * Sends a request.
     *
     * @param method the method
     * @param path the path
     * @param fields header fields, a line each with its end
     * @param body the body
     * @throws IOException if the connection has ended
     */
    public void send(String method, String path, String fields, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head =
                "%s %s %s\r\n%s%sContent-Length: %d\r\n\r\n"
                        .formatted(
                                method,
                                path,
                                mKind.version(),
                                mKind.connectionField(),
                                fields,
                                bytes.length);
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        request.writeBytes(bytes);
        send(method, request.toByteArray());
    }

    /**
     * Sends bytes as they stand, for example a request that no parser takes. The kind of the caller
     * has no part in it.
     *
     * @param bytes the bytes, which begin with a method
     * @throws IOException if the connection has ended
     */
    public void send(String bytes) throws IOException {
        send(bytes.split(" ")[0], bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void send(String method, byte[] bytes) throws IOException {
        mIsHead = method.equals("HEAD");
        mSocket.getOutputStream().write(bytes);
        mSocket.getOutputStream().flush();
    }

    /**
     * Sends bytes as they are; beside a thread that reads.
     *
     * @param bytes a part of a request, or what follows it
     * @throws IOException if the connection has ended
     */
    public void sendBytes(byte[] bytes) throws IOException {
        mSocket.getOutputStream().write(bytes);
    }

    /**
     * Reads to the end of the connection.
     *
     * @throws IOException if the connection is reset, or does not end in time
     */
    public void readToEnd() throws IOException {
        mIn.transferTo(OutputStream.nullOutputStream());
    }

    /**
     * Returns how much has come of the body of the response that is being read. Thread-safe.
     *
     * @return bytes
     */
    public int bodyBytes() {
        return mBodyBytes;
    }

    /**
     * Reads a response until it is whole or cannot become so.
     *
     * @return the response
     */
    public FramedResponse read() {
        return read(size -> {});
    }

    /**
     * Reads a response until it is whole or cannot become so, as slowly as the caller likes.
     *
     * @param onBodyByte is told after each byte of the body how many have come, and may wait
     * @return the response
     */
    public FramedResponse read(IntConsumer onBodyByte) {
        return new Reading(onBodyByte).read();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    /** One response that is being read. */
    private final class Reading {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final Map<String, String> mHeaders = new HashMap<>();
        private final IntConsumer mOnBodyByte;
        private Framing mFraming = Framing.NONE;
        private int mStatus = -1;

        Reading(IntConsumer onBodyByte) {
            mOnBodyByte = onBodyByte;
        }

        FramedResponse read() {
            mBodyBytes = 0;
            try {
                readHead();
                readBody();
                boolean isToClose = mFraming == Framing.CLOSE;
                return ended(isToClose ? End.CLOSED : End.LAST_BYTE, true);
            } catch (EOFException e) {
                return ended(End.CLOSED, false);
            } catch (SocketTimeoutException e) {
                return ended(End.TIMED_OUT, false);
            } catch (IOException e) {
                return ended(End.RESET, false);
            }
        }

        private FramedResponse ended(End end, boolean isComplete) {
            String body = mBody.toString(StandardCharsets.UTF_8);
            return new FramedResponse(mStatus, mHeaders, mFraming, body, end, isComplete);
        }

        /** Reads the head of the final response, and passes over those before it. */
        private void readHead() throws IOException {
            do {
                mHeaders.clear();
                readOneHead();
            } while (mStatus < FIRST_FINAL_STATUS);
        }

        private void readOneHead() throws IOException {
            String[] words = readLine().split(" ");
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                mHeaders.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            mStatus = Integer.parseInt(words[1]);
        }

        private boolean hasBody() {
            return !mIsHead && mStatus != NO_CONTENT && mStatus != NOT_MODIFIED;
        }

        private void readBody() throws IOException {
            if (!hasBody()) {
                return;
            }
            if ("chunked".equalsIgnoreCase(mHeaders.get("transfer-encoding"))) {
                mFraming = Framing.CHUNKED;
                readChunks();
            } else if (mHeaders.containsKey("content-length")) {
                mFraming = Framing.LENGTH;
                readPart(Integer.parseInt(mHeaders.get("content-length")));
            } else {
                mFraming = Framing.CLOSE;
                for (int next = mIn.read(); next >= 0; next = mIn.read()) {
                    add(next);
                }
            }
        }

        private void readChunks() throws IOException {
            while (true) {
                int size = Integer.parseInt(readLine().split(";")[0].strip(), HEX);
                if (size == 0) {
                    break;
                }
                readPart(size);
                readLine();
            }
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                // A field behind the body is none of the framing.
                mHeaders.putIfAbsent("trailer: " + line, "");
            }
        }

        private void readPart(int size) throws IOException {
            for (int i = 0; i < size; i++) {
                add(readByte());
            }
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = readByte(); next != '\n'; next = readByte()) {
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.US_ASCII);
        }

        private int readByte() throws IOException {
            int next = mIn.read();
            if (next < 0) {
                throw new EOFException("the connection ended inside the response");
            }
            return next;
        }

        private void add(int next) {
            mBody.write(next);
            mBodyBytes = mBody.size();
            mOnBodyByte.accept(mBody.size());
        }
    }
}
