/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.orchidmount.internal.http.TunnelPeer;

/** Encodes and decodes the entries that open tunnels. Stateless and thread-safe. */
final class TunnelPeerCodec {
    private TunnelPeerCodec() {}

    static void writeList(MessageBufferPacker out, List<TunnelPeer> peers) throws IOException {
        out.packArrayHeader(peers.size());
        for (TunnelPeer peer : peers) {
            write(out, peer);
        }
    }

    private static void write(MessageBufferPacker out, TunnelPeer peer) throws IOException {
        out.packString(peer.node()).packString(peer.zone()).packString(peer.host());
        out.packInt(peer.port()).packString(peer.token());
    }

    /** Reads a list; unusable elements are skipped. */
    static List<TunnelPeer> readList(MessageUnpacker in, Consumer<String> rejections)
            throws IOException {
        List<TunnelPeer> peers = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            TunnelPeer peer = read(in);
            if (isUsable(peer)) {
                peers.add(peer);
            } else {
                rejections.accept("unusable tunnel of " + peer);
            }
        }
        return peers;
    }

    /** Writes the field of a greeting; nothing for an instance that opens no tunnels. */
    static void writeOptional(MessageBufferPacker out, Optional<TunnelPeer> peer)
            throws IOException {
        if (peer.isPresent()) {
            write(out, peer.get());
        }
    }

    /** Reads the field of a greeting, which instances of earlier builds do not write. */
    static Optional<TunnelPeer> readOptional(MessageUnpacker in) throws IOException {
        return in.hasNext()
                ? Optional.of(read(in)).filter(TunnelPeerCodec::isUsable)
                : Optional.empty();
    }

    private static TunnelPeer read(MessageUnpacker in) throws IOException {
        return new TunnelPeer(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackString());
    }

    private static boolean isUsable(TunnelPeer peer) {
        boolean isPort = peer.port() > 0 && peer.port() <= HostPort.MAX_PORT;
        return !peer.node().isEmpty() && !peer.host().isEmpty() && isPort;
    }
}
