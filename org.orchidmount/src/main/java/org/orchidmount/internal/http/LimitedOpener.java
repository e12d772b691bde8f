/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens one connection on an I/O thread and limits what is read from it, before the HTTP library
 * has it. All else is done by the I/O thread; this one is never started.
 */
final class LimitedOpener extends XnioIoThread {
    private final XnioIoThread mIoThread;
    private final ReceiveLimit mLimit;

    LimitedOpener(XnioIoThread ioThread, ReceiveLimit limit) {
        super(ioThread.getWorker(), ioThread.getNumber());
        mIoThread = ioThread;
        mLimit = limit;
    }

    private ChannelListener<StreamConnection> limiting(
            ChannelListener<? super StreamConnection> listener) {
        return connection -> {
            LimitedSourceConduit.install(connection, mLimit);
            listener.handleEvent(connection);
        };
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            OptionMap options) {
        return mIoThread.openStreamConnection(destination, limiting(openListener), options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return mIoThread.openStreamConnection(
                destination, limiting(openListener), bindListener, options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress bindAddress,
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return mIoThread.openStreamConnection(
                bindAddress, destination, limiting(openListener), bindListener, options);
    }

    @Override
    public void execute(Runnable command) {
        mIoThread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return mIoThread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return mIoThread.executeAtInterval(command, time, unit);
    }
}
