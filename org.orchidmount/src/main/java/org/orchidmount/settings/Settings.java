/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.orchidmount.routing.BodyMemoryRule;

/**
 * The settings of one instance. Immutable; every value has been checked.
 *
 * @param instance the instance's name, unique in the fleet
 * @param region its region
 * @param zone its availability zone
 * @param callers the listener for callers
 * @param operators the listener for operators
 * @param dataFolder the folder under which all files of the instance live
 * @param firstTable the table taken when the data folder holds none
 * @param log how logs are written
 * @param policy the name of the routing policy
 * @param resume how resume tokens are signed
 * @param drain how a planned stop proceeds
 * @param upstreams how upstreams are called
 */
public record Settings(
        String instance,
        String region,
        String zone,
        Callers callers,
        Operators operators,
        Path dataFolder,
        Optional<Path> firstTable,
        Log log,
        String policy,
        Resume resume,
        Drain drain,
        Upstreams upstreams) {

    /**
     * The listener for callers.
     *
     * @param host the IP address
     * @param port the TCP port, 0 for a free one
     * @param maxConnections the most open connections
     * @param maxHeaderBytes the largest head of a request
     * @param maxBodyBytes the largest body of a completion request
     * @param bodyMemory what is held of the bodies of all requests, those of operators included
     * @param headerTimeout the longest time for the head of a request
     * @param bodyTimeout the longest time for a completion request's body, and for each part of
     *     other bodies
     * @param idleTimeout how long a connection may stay open between requests
     * @param writeTimeout the longest time a caller may leave an answer unread
     */
    public record Callers(
            String host,
            int port,
            int maxConnections,
            int maxHeaderBytes,
            int maxBodyBytes,
            BodyMemoryRule bodyMemory,
            Duration headerTimeout,
            Duration bodyTimeout,
            Duration idleTimeout,
            Duration writeTimeout) {}

    /**
     * The listener for operators.
     *
     * @param host the IP address
     * @param port the TCP port, 0 for a free one
     * @param tokensFile the file with the operators' names, roles and token hashes
     */
    public record Operators(String host, int port, Path tokensFile) {}

    /**
     * How logs are written.
     *
     * @param json true for JSON lines, false for text
     * @param level the least level written
     */
    public record Log(boolean json, String level) {}

    /**
     * How resume tokens are signed.
     *
     * @param keyFile the file with the key that all instances share
     * @param valid how long a token may be used
     */
    public record Resume(Path keyFile, Duration valid) {}

    /**
     * How a planned stop proceeds.
     *
     * @param notice how long work is still taken after readiness has turned red
     * @param limit how long running requests may take to finish
     */
    public record Drain(Duration notice, Duration limit) {}

    /**
     * How upstreams are called.
     *
     * @param connectTimeout the longest wait for a connection
     * @param firstTokenTimeout the longest wait for the first sign of an answer
     * @param tokenTimeout the longest silence in a stream of tokens
     * @param cancelTimeout the longest wait for a cancel to be confirmed
     * @param reportEvery the time between load reports of one engine
     * @param orphanGrace how long a request of an earlier run of this instance stays on an engine
     * @param retryPercent the retries allowed in percent of the requests
     */
    public record Upstreams(
            Duration connectTimeout,
            Duration firstTokenTimeout,
            Duration tokenTimeout,
            Duration cancelTimeout,
            Duration reportEvery,
            Duration orphanGrace,
            int retryPercent) {}
}
