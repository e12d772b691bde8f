/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.orchidmount.internal.log.PartLog;

/**
 * Takes the signals that ask a process to stop.
 *
 * <p>The platform's own hook runs once and cannot tell a second signal, which here means "now". The
 * signal class is outside the standard library, so it is reached by reflection; where it is
 * missing, the platform's hook does the planned stop alone. Stateless and thread-safe.
 */
public final class StopSignals {
    private static final PartLog LOG = PartLog.of("daemon");

    private StopSignals() {}

    /**
     * Installs a handler for SIGTERM and SIGINT.
     *
     * @param handler called on a thread of its own at each signal
     */
    public static void install(Runnable handler) {
        handle("TERM", handler);
        handle("INT", handler);
    }

    /**
     * Installs a handler for SIGHUP, which says that the settings have changed.
     *
     * @param handler called on a thread of its own at each signal
     */
    public static void installReload(Runnable handler) {
        handle("HUP", handler);
    }

    private static void handle(String name, Runnable handler) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation =
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            handler.run();
                        }
                        return null;
                    };
            Object proxy =
                    Proxy.newProxyInstance(
                            StopSignals.class.getClassLoader(),
                            new Class<?>[] {handlerType},
                            invocation);
            signal.getMethod("handle", signal, handlerType)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warn("signal %s cannot be handled: %s", name, e);
        }
    }
}
