/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.Optional;
import java.util.UUID;
import org.orchidmount.internal.http.ConnectionPaths.TunnelResult;

/**
 * The request that opens a tunnel, and its responses. The first request on a connection names the
 * upstream; after a response with {@link #OPENED}, all bytes belong to the upstream's connection.
 */
public final class TunnelHandshake {
    /** Status: the tunnel is open. */
    public static final int OPENED = 200;

    /** Status: the token is not that of this instance. */
    public static final int FORBIDDEN = 403;

    /** Status: the upstream refused the connection. */
    public static final int UPSTREAM_REFUSED = 502;

    /** Status: the upstream did not answer in time. */
    public static final int UPSTREAM_SILENT = 504;

    /** Status: the instance opens no tunnels at present. */
    public static final int INSTANCE_REFUSED = 503;

    /** The field of the request that carries the token. */
    public static final String TOKEN_FIELD = "Orchidmount-Tunnel-Token";

    private static final String METHOD = "GET ";
    private static final String PATH = "/tunnel/";
    private static final String VERSION = " HTTP/1.1";

    private TunnelHandshake() {}

    /** Returns the result that a status tells. */
    static TunnelResult result(int status) {
        return switch (status) {
            case OPENED -> TunnelResult.OPENED;
            case UPSTREAM_REFUSED -> TunnelResult.UPSTREAM_REFUSED;
            case UPSTREAM_SILENT -> TunnelResult.UPSTREAM_SILENT;
            default -> TunnelResult.INSTANCE_REFUSED;
        };
    }

    /**
     * A request to open a tunnel, as the instance that opens it reads it.
     *
     * @param host the IP address of the upstream
     * @param port its TCP port
     * @param token the token of the caller
     * @param identity the value of the identity field, which the response carries back
     */
    public record Request(String host, int port, String token, String identity) {}

    /** Returns the head of a request. */
    static HttpHead head(Peer upstream, TunnelPeer through, HttpString identityField) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, through.host() + ":" + through.port());
        headers.put(new HttpString(TOKEN_FIELD), through.token());
        headers.put(identityField, UUID.randomUUID().toString());
        return new HttpHead(Methods.GET, PATH + upstream.host() + ":" + upstream.port(), headers);
    }

    /**
     * Parses the head of a request.
     *
     * @param head the lines of the head
     * @param identityField the name of the field that carries the identity of a call
     * @return the request; empty if the head is none
     */
    public static Optional<Request> parse(String head, String identityField) {
        String[] lines = head.split("\r\n");
        String first = lines[0];
        boolean isRequest = first.startsWith(METHOD + PATH) && first.endsWith(VERSION);
        if (!isRequest) {
            return Optional.empty();
        }
        int from = (METHOD + PATH).length();
        String target = first.substring(from, Math.max(from, first.length() - VERSION.length()));
        int colon = target.lastIndexOf(':');
        String token = field(lines, TOKEN_FIELD);
        String identity = field(lines, identityField);
        try {
            int port = Integer.parseInt(target.substring(colon + 1));
            return Optional.of(
                    new Request(target.substring(0, Math.max(0, colon)), port, token, identity));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static String field(String[] lines, String name) {
        for (String line : lines) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return "";
    }

    /**
     * Formats a response without a body.
     *
     * @param status the status
     * @param identityField the name of the field that carries the identity of a call
     * @param identity the identity of the request
     * @return the response
     */
    public static String response(int status, String identityField, String identity) {
        return "HTTP/1.1 %d Tunnel\r\n%s: %s\r\nContent-Length: 0\r\n\r\n"
                .formatted(status, identityField, identity);
    }
}
