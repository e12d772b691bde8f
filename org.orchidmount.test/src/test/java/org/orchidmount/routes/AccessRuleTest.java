/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.routes.AccessRule.Access;

/** Tests {@link AccessRule} and {@link ClientAccounts}: who may be served. */
final class AccessRuleTest {
    private static final ClientAccount MILL = new ClientAccount("mill", Optional.empty());
    private static final ClientAccount PORT = new ClientAccount("port", Optional.empty());
    private static final ClientAccounts ACCOUNTS =
            new ClientAccounts.Builder()
                    .add(MILL, List.of("key-1", "key-2"))
                    .add(PORT, List.of("key-3"))
                    .build();

    @ParameterizedTest
    @CsvSource({
        "false, key-1, mill",
        "false, key-2, mill",
        "true, key-3, port",
        "true, key-4, -",
        "true, , -"
    })
    void aRequestIsServedForTheAccountOfItsKey(boolean isPublic, String key, String account) {
        Access access = AccessRule.check(ACCOUNTS, isPublic, Optional.ofNullable(key));
        Access.Allowed allowed = (Access.Allowed) access;
        assertThat(allowed.account().map(ClientAccount::name).orElse("-")).isEqualTo(account);
        assertThat(allowed.hasAccounts()).isTrue();
    }

    @Test
    void aRouteThatIsNotPublicAsksForAKeyThatIsKnown() {
        assertThat(AccessRule.check(ACCOUNTS, false, Optional.empty()))
                .isInstanceOf(Access.NoKey.class);
        assertThat(AccessRule.check(ACCOUNTS, false, Optional.of("key-4")))
                .isInstanceOf(Access.UnknownKey.class);
    }

    /** Once the table has accounts, one without any key left locks all of its callers out. */
    @Test
    void accountsWithoutKeysAreStillAccounts() {
        ClientAccounts withdrawn =
                new ClientAccounts.Builder().add(MILL, List.<String>of()).build();
        assertThat(AccessRule.check(withdrawn, false, Optional.of("key-1")))
                .isInstanceOf(Access.UnknownKey.class);
    }

    @Test
    void withoutAccountsNoKeyIsAskedFor() {
        Access access = AccessRule.check(ClientAccounts.NONE, false, Optional.of("key-1"));
        assertThat(access).isEqualTo(new Access.Allowed(Optional.empty(), false));
    }

    @Test
    void noTwoAccountsShareAKeyOrAName() {
        ClientAccounts.Builder builder =
                new ClientAccounts.Builder().add(MILL, List.of("key-1", "key-1"));
        Exception shared =
                assertThrows(
                        IllegalArgumentException.class, () -> builder.add(PORT, List.of("key-1")));
        assertThat(shared).hasMessageThat().contains("mill and port");
        assertThat(shared).hasMessageThat().doesNotContain("key-1");
        assertThrows(IllegalArgumentException.class, () -> builder.add(MILL, List.of("key-9")));
    }

    @ParameterizedTest
    @CsvSource({"TOKENS, 150, 150", "TOKENS, , 200", "TOKENS, 0, 0", "REQUESTS, 150, 1"})
    void aRequestCountsAsWhatItStates(ClientAccount.Unit unit, Long stated, long units) {
        ClientAccount.Limit limit = new ClientAccount.Limit(unit, 1, 1, 200);
        OptionalLong tokens = stated == null ? OptionalLong.empty() : OptionalLong.of(stated);
        assertThat(limit.units(tokens)).isEqualTo(units);
    }
}
