/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.orchidmount.cluster.ClusterMessage.RetryDemand;
import org.orchidmount.cluster.ClusterMessage.RetryReply;
import org.orchidmount.cluster.ClusterMessage.RetryRequestMessage;
import org.orchidmount.retry.RetryAnswer;
import org.orchidmount.retry.RetryLimit;
import org.orchidmount.retry.RetryRequest;

/** Encodes and decodes the messages about retries. Stateless and thread-safe. */
final class RetryCodec {
    /** More services than any route table names. */
    private static final int MAX_SERVICES = 10_000;

    private RetryCodec() {}

    static void write(MessagePacker out, RetryRequestMessage message) throws IOException {
        RetryRequest request = message.request();
        RetryLimit limit = request.limit();
        out.packLong(message.number()).packString(request.service());
        out.packDouble(limit.ratio()).packLong(limit.window().toNanos()).packInt(limit.slack());
        out.packInt(request.requests()).packInt(request.retries());
    }

    static RetryRequestMessage readRequest(MessageUnpacker in) throws IOException {
        long number = in.unpackLong();
        String service = in.unpackString();
        try {
            RetryLimit limit =
                    new RetryLimit(
                            in.unpackDouble(), Duration.ofNanos(in.unpackLong()), in.unpackInt());
            return new RetryRequestMessage(
                    number, new RetryRequest(service, limit, in.unpackInt(), in.unpackInt()));
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed frame: " + e.getMessage(), e);
        }
    }

    static void write(MessagePacker out, RetryReply reply) throws IOException {
        out.packLong(reply.number()).packInt(reply.answer().outcome().ordinal());
        out.packLong(reply.answer().retryAfter().toNanos()).packString(reply.owner());
    }

    static RetryReply readReply(MessageUnpacker in) throws IOException {
        long number = in.unpackLong();
        int outcome = in.unpackInt();
        RetryAnswer.Outcome[] outcomes = RetryAnswer.Outcome.values();
        if (outcome < 0 || outcome >= outcomes.length) {
            throw new IOException("malformed frame: no outcome " + outcome);
        }
        RetryAnswer answer = new RetryAnswer(outcomes[outcome], Duration.ofNanos(in.unpackLong()));
        return new RetryReply(number, answer, in.unpackString());
    }

    static void write(MessagePacker out, RetryDemand demand) throws IOException {
        out.packArrayHeader(demand.services().size());
        for (String service : demand.services()) {
            out.packString(service);
        }
    }

    static RetryDemand readDemand(MessageUnpacker in) throws IOException {
        int size = in.unpackArrayHeader();
        if (size > MAX_SERVICES) {
            throw new IOException("malformed frame: too many services: " + size);
        }
        List<String> services = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            services.add(in.unpackString());
        }
        return new RetryDemand(services);
    }
}
