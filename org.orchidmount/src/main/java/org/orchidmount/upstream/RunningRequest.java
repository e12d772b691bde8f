/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

/**
 * A request that an engine holds. Immutable.
 *
 * @param id the id it was sent under
 * @param instance the instance that sent or resumed it
 * @param incarnation the run of that instance
 * @param attached true while a connection reads its tokens
 */
public record RunningRequest(String id, String instance, String incarnation, boolean attached) {}
