/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/**
 * A caller that writes bytes as it likes: broken requests, slow ones, and ones that are given up.
 * Used by one thread.
 */
public final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private final Socket mSocket;

    /**
     * Connects.
     *
     * @param url the address, as of {@link Cluster#callerUrl}
     * @throws IOException if that fails
     */
    public RawCaller(String url) throws IOException {
        URI uri = URI.create(url);
        mSocket = new Socket(uri.getHost(), uri.getPort());
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        mSocket.setTcpNoDelay(true);
    }

    /**
     * Connects with a receive buffer of a given size, so that little is on its way to a caller that
     * does not read.
     *
     * @param port the port at the loopback address
     * @param receiveBufferBytes the size asked for
     * @throws IOException if that fails
     */
    public RawCaller(int port, int receiveBufferBytes) throws IOException {
        mSocket = new Socket();
        mSocket.setReceiveBufferSize(receiveBufferBytes);
        mSocket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        mSocket.setTcpNoDelay(true);
    }

    /**
     * Reads a number of bytes, or fewer at the end of the connection.
     *
     * @param count the number
     * @return what was read
     * @throws IOException if the connection breaks
     */
    public byte[] read(int count) throws IOException {
        return mSocket.getInputStream().readNBytes(count);
    }

    /**
     * Writes the head and the body of a POST with a JSON body.
     *
     * @param path the path
     * @param key the account's key
     * @param body the body
     * @throws IOException if the connection breaks
     */
    public void post(String path, String key, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        send(
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                        + key
                        + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length
                        + "\r\n\r\n");
        mSocket.getOutputStream().write(bytes);
        mSocket.getOutputStream().flush();
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
     * Reads until a text has come.
     *
     * @param text the text
     * @return all that was read
     * @throws IOException if the connection ends before
     */
    public String readUntil(String text) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        InputStream in = mSocket.getInputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended after: " + read);
            }
            read.write(next);
            if (next == text.charAt(text.length() - 1) && read.toString().endsWith(text)) {
                return read.toString();
            }
        }
    }

    /**
     * Reads to the end of the connection.
     *
     * @return all that was read
     * @throws IOException if the connection breaks
     */
    public String readAll() throws IOException {
        return new String(mSocket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Closes the connection, as a caller that gives up does. */
    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
