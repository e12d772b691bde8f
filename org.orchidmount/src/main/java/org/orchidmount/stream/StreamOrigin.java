/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.stream;

/**
 * What wrote the first event of a stream, and so must write the others. Immutable.
 *
 * @param service service of the upstream
 * @param version version of the upstream's software
 */
public record StreamOrigin(String service, String version) {}
