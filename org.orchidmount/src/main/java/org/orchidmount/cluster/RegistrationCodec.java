/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;

/**
 * Encodes and decodes lists of registrations. What later builds have added, the start times and the
 * software versions of upstreams, follows the list, so that a peer that does not know a field can
 * still read the frame. Stateless and thread-safe.
 */
final class RegistrationCodec {
    private RegistrationCodec() {}

    static void writeList(MessageBufferPacker out, List<Registration> all) throws IOException {
        out.packArrayHeader(all.size());
        for (Registration registration : all) {
            write(out, registration);
        }
        boolean hasVersions = all.stream().anyMatch(each -> each.version().isPresent());
        writeStarts(out, all.stream().map(Registration::incarnation).toList(), hasVersions);
        if (hasVersions) {
            writeVersions(out, all);
        }
    }

    /**
     * Writes the versions last, as the starts before them, for peers that do not know the field.
     */
    private static void writeVersions(MessageBufferPacker out, List<Registration> registrations)
            throws IOException {
        out.packArrayHeader(registrations.size());
        for (Registration registration : registrations) {
            out.packString(registration.version().orElse(""));
        }
    }

    private static void readVersions(MessageUnpacker in, List<Registration> registrations)
            throws IOException {
        if (!in.hasNext()) {
            return;
        }
        int size = ClusterCodec.readSize(in);
        if (size != registrations.size()) {
            throw new IOException(
                    "malformed frame: %d versions for %d upstreams"
                            .formatted(size, registrations.size()));
        }
        for (int i = 0; i < size; i++) {
            Optional<String> version =
                    Optional.of(in.unpackString()).filter(text -> !text.isEmpty());
            registrations.set(i, registrations.get(i).withVersion(version));
        }
    }

    static List<Registration> readList(MessageUnpacker in) throws IOException {
        List<Registration> registrations = new ArrayList<>();
        for (int left = ClusterCodec.readSize(in); left > 0; left--) {
            registrations.add(read(in));
        }
        List<OptionalLong> starts = readStarts(in, registrations.size());
        for (int i = 0; i < starts.size(); i++) {
            Registration read = registrations.get(i);
            registrations.set(i, read.withIncarnation(incarnation(read.id(), starts.get(i))));
        }
        readVersions(in, registrations);
        return registrations;
    }

    static boolean isUsable(Registration registration) {
        boolean isKnown = registration.stage() != null && registration.state() != null;
        return isKnown && PeerRecordValidator.isUsable(registration);
    }

    private static void write(MessageBufferPacker out, Registration registration)
            throws IOException {
        out.packString(registration.id()).packString(registration.service());
        out.packString(registration.address()).packString(registration.zone());
        out.packInt(registration.slots()).packInt(registration.stage().ordinal());
        out.packInt(registration.state().ordinal()).packLong(registration.sequence());
    }

    /**
     * Reads a registration. Its stage or state is null if a peer of another version sent a value
     * that is unknown here.
     */
    private static Registration read(MessageUnpacker in) throws IOException {
        return new Registration(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                ClusterCodec.constantOrNull(Registration.Stage.values(), in.unpackInt()),
                ClusterCodec.constantOrNull(Registration.State.values(), in.unpackInt()),
                in.unpackLong());
    }

    /**
     * Writes the start times of upstreams at the end of a frame, so that a peer that does not know
     * this field can still read the frame and ignores it. Writes nothing if no start time is stated
     * and no other field follows.
     */
    static void writeStarts(
            MessageBufferPacker out, List<Incarnation> incarnations, boolean isFollowed)
            throws IOException {
        if (!isFollowed && incarnations.stream().noneMatch(Incarnation::isStartKnown)) {
            return;
        }
        out.packArrayHeader(incarnations.size());
        for (Incarnation incarnation : incarnations) {
            if (incarnation.isStartKnown()) {
                out.packLong(incarnation.startMillis().getAsLong());
            } else {
                out.packNil();
            }
        }
    }

    /**
     * Reads the start times of the given number of upstreams; returns an empty list if the frame
     * has no such field.
     */
    static List<OptionalLong> readStarts(MessageUnpacker in, int upstreams) throws IOException {
        if (!in.hasNext()) {
            return List.of();
        }
        int size = ClusterCodec.readSize(in);
        if (size != upstreams) {
            throw new IOException(
                    "malformed frame: %d start times for %d upstreams".formatted(size, upstreams));
        }
        List<OptionalLong> starts = new ArrayList<>();
        for (int left = size; left > 0; left--) {
            boolean isStated = !in.tryUnpackNil();
            starts.add(isStated ? OptionalLong.of(in.unpackLong()) : OptionalLong.empty());
        }
        return starts;
    }

    static Incarnation incarnation(String id, OptionalLong startMillis) {
        return startMillis.isPresent()
                ? Incarnation.startedAt(id, startMillis.getAsLong())
                : Incarnation.ofUnknownStart(id);
    }
}
