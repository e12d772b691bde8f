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
 * Gives orders to upstreams. Implementations translate only; they block and are thread-safe. They
 * refuse an order whose engine has started again since it was registered.
 */
@FunctionalInterface
public interface StageOrders {
    /**
     * Orders an engine to change its stage.
     *
     * @param order the order
     * @param stillHeld asked right before the order is sent; no order is sent if it says no
     * @param statements takes what each answer of the engine states of it
     * @return how the engine took it
     */
    Result changeStage(
            Order order, BooleanSupplier stillHeld, Consumer<UpstreamStatement> statements);

    /**
     * An order to an engine.
     *
     * @param engine the engine
     * @param stage the stage it is to have
     * @param holder who gives the order
     * @param fence the fencing token of the holder
     */
    record Order(Registration engine, Registration.Stage stage, String holder, long fence) {}

    /** How an engine took an order. */
    enum Result {
        /** It does it, or has done it. */
        TAKEN,
        /** It refuses it for now. */
        REFUSED,
        /** It has seen a higher fencing token. */
        FENCED,
        /** It has not answered; it may do it yet. */
        UNKNOWN
    }
}
