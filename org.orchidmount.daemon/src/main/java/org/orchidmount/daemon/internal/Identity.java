/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import io.undertow.util.StatusCodes;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.keys.KeyHash;
import org.orchidmount.table.AccountRow;
import org.orchidmount.table.ClassRow;
import org.orchidmount.table.Table;

/**
 * Who sends a request, and in which class. Immutable.
 *
 * @param account the client account
 * @param requestClass the request class
 */
record Identity(AccountRow account, ClassRow requestClass) {
    private static final String BEARER = "Bearer ";

    /** Identifies the sender of a request. */
    static Identity of(ServerExchange exchange, Table table) throws RefusedException {
        String authorization = exchange.header("Authorization");
        if (authorization == null || !authorization.startsWith(BEARER)) {
            throw refused("no_account", Messages.NO_ACCOUNT);
        }
        AccountRow account =
                table.accountByKey(KeyHash.of(authorization.substring(BEARER.length()).strip()))
                        .orElseThrow(() -> refused("unknown_account", Messages.UNKNOWN_ACCOUNT));
        String named = exchange.header(HeaderNames.REQUEST_CLASS);
        String className = named == null ? account.requestClass() : named;
        ClassRow requestClass =
                table.row(ClassRow.class, className)
                        .orElseThrow(
                                () ->
                                        new RefusedException(
                                                Refusal.bad(
                                                        StatusCodes.BAD_REQUEST,
                                                        "unknown_class",
                                                        Messages.UNKNOWN_CLASS.formatted(
                                                                className))));
        return new Identity(account, requestClass);
    }

    private static RefusedException refused(String code, String message) {
        return new RefusedException(Refusal.bad(StatusCodes.UNAUTHORIZED, code, message));
    }
}
