/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.orchidmount.membership.Registration;
import org.orchidmount.pacing.UpstreamStatement;

/**
 * Client that sends orders to upstreams. Implementations only translate to the upstream's protocol;
 * they block and are thread-safe. They must not apply an order to an engine that has restarted
 * since it registered.
 */
@FunctionalInterface
public interface StageOrderClient {
    /**
     * Orders an engine to change its stage; blocks until it responds or a time-out expires.
     *
     * @param order the order
     * @param stillHeld checked right before the order is sent; the order is not sent if it returns
     *     false
     * @param statements receives what each response of the engine states about it
     * @return the result
     */
    Result changeStage(
            Order order, BooleanSupplier stillHeld, Consumer<UpstreamStatement> statements);

    /**
     * An order to an engine.
     *
     * @param engine the engine's registration
     * @param stage the stage to change to
     * @param holder the name under which the order is given
     * @param fencingToken the fencing token: the term of the leader that gives the order
     */
    record Order(Registration engine, Registration.Stage stage, String holder, long fencingToken) {}

    /** The result of an order. */
    enum Result {
        /** The engine carries out the order, or has done so. */
        TAKEN,
        /** The engine refuses the order for now. */
        REFUSED,
        /** The engine has seen a higher fencing token. */
        FENCED,
        /** No response; the order may still take effect. */
        UNKNOWN
    }
}
