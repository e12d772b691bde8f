/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.orchidmount.cluster.HostPort;
import org.orchidmount.settings.Located.Arr;
import org.orchidmount.settings.Located.Obj;
import org.orchidmount.settings.Located.Scalar;

/**
 * Reads the keys of one object of a settings file and collects what is wrong.
 *
 * <p>Invariant: every read returns a usable value, even after a problem, so that one pass finds all
 * problems. {@link #finish} reports the keys that nobody asked for. Not thread-safe.
 */
final class Section {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Fa-f.:]+");

    private final String mFile;
    private final String mPath;
    private final Obj mObject;
    private final List<SettingsProblem> mProblems;
    private final Set<String> mKnown = new LinkedHashSet<>();

    Section(String file, String path, Obj object, List<SettingsProblem> problems) {
        mFile = file;
        mPath = path;
        mObject = object;
        mProblems = problems;
    }

    /** Reads an object; an empty one stands in for a missing one. */
    Section section(String key, boolean required) {
        mKnown.add(key);
        Located value = mObject.fields().get(key);
        if (value instanceof Obj object) {
            return new Section(mFile, path(key), object, mProblems);
        }
        if (value != null) {
            problem(value, key, "must be an object in braces");
        } else if (required) {
            problem(mObject, key, "is missing; add the object \"" + key + "\"");
        }
        Obj empty = new Obj(mObject.line(), mObject.column(), Map.of());
        return new Section(mFile, path(key), empty, mProblems);
    }

    String name(String key) {
        String text = text(key, null);
        if (text == null) {
            return "missing";
        }
        if (!NAME.matcher(text).matches()) {
            problem(
                    value(key),
                    key,
                    "'" + text + "' is no name; use letters, digits, dot, dash and underscore");
        }
        return text;
    }

    String address(String key) {
        String text = text(key, null);
        if (text == null) {
            return "127.0.0.1";
        }
        if (!ADDRESS.matcher(text).matches()) {
            problem(value(key), key, "'" + text + "' is no IP address; give digits, not a name");
        }
        return text;
    }

    /** Reads a text; null as the default makes the key required. */
    String text(String key, String defaultText) {
        mKnown.add(key);
        Located value = value(key);
        if (value == null) {
            if (defaultText == null) {
                problem(mObject, key, "is missing; add it");
            }
            return defaultText;
        }
        if (value instanceof Scalar scalar && scalar.value() instanceof String text) {
            if (text.isBlank()) {
                problem(value, key, "is empty; give a value");
            }
            return text;
        }
        problem(value, key, "must be a text in quotes");
        return defaultText;
    }

    /** Reads one of several words. */
    String choice(String key, List<String> choices) {
        String text = text(key, choices.getFirst());
        if (!choices.contains(text)) {
            problem(value(key), key, "'" + text + "' is not known; use one of " + choices);
            return choices.getFirst();
        }
        return text;
    }

    int port(String key) {
        return (int) number(key, null, 0, 65_535, "a TCP port");
    }

    int count(String key, int defaultCount, int least, int most) {
        return (int) number(key, (long) defaultCount, least, most, "a whole number");
    }

    /** Reads a count that must be given. */
    int requiredCount(String key, int least, int most) {
        return (int) number(key, null, least, most, "a whole number");
    }

    /** Reads a number of bytes; a default of null means that it must be given. */
    int bytes(String key, Integer defaultBytes, int least, int most) {
        Long otherwise = defaultBytes == null ? null : Long.valueOf(defaultBytes);
        return (int) number(key, otherwise, least, most, "a whole number of bytes");
    }

    Duration millis(String key, long defaultMillis, long least, long most) {
        return Duration.ofMillis(
                number(key, defaultMillis, least, most, "a whole number of milliseconds"));
    }

    /** Reads host and port. */
    HostPort hostPort(String key) {
        String text = text(key, null);
        if (text != null) {
            try {
                HostPort address = HostPort.parse(text);
                if (ADDRESS.matcher(address.host()).matches()) {
                    return address;
                }
                reject(key, "'" + address.host() + "' is no IP address; give digits, not a name");
            } catch (IllegalArgumentException e) {
                reject(key, e.getMessage());
            }
        }
        return new HostPort("127.0.0.1", 0);
    }

    /** Reads a list of addresses. */
    List<HostPort> hostPorts(String key) {
        mKnown.add(key);
        List<HostPort> addresses = new ArrayList<>();
        Located value = value(key);
        if (!(value instanceof Arr list)) {
            problem(value == null ? mObject : value, key, "must be a list of host:port");
            return addresses;
        }
        for (Located item : list.items()) {
            try {
                if (item instanceof Scalar scalar && scalar.value() instanceof String text) {
                    addresses.add(HostPort.parse(text));
                } else {
                    problem(item, key, "must hold texts of the form host:port");
                }
            } catch (IllegalArgumentException e) {
                problem(item, key, e.getMessage());
            }
        }
        return addresses;
    }

    /** Reads true or false. */
    boolean flag(String key, boolean defaultFlag) {
        mKnown.add(key);
        Located value = value(key);
        if (value == null) {
            return defaultFlag;
        }
        if (value instanceof Scalar scalar && scalar.value() instanceof Boolean flag) {
            return flag;
        }
        problem(value, key, "must be true or false without quotes");
        return defaultFlag;
    }

    /** Reads a number that may have a fraction. */
    double decimal(String key, double defaultNumber, double least, double most) {
        mKnown.add(key);
        Located value = value(key);
        if (value == null) {
            return defaultNumber;
        }
        if (value instanceof Scalar scalar && scalar.value() instanceof Number number) {
            double decimal = number.doubleValue();
            if (decimal >= least && decimal <= most) {
                return decimal;
            }
            problem(value, key, "is " + number + "; give a number from " + least + " to " + most);
            return defaultNumber;
        }
        problem(value, key, "must be a number without quotes");
        return defaultNumber;
    }

    /** Tells whether a key is there. */
    boolean has(String key) {
        mKnown.add(key);
        return value(key) != null;
    }

    /** Reads a list of texts. */
    Set<String> names(String key, Set<String> allowed) {
        mKnown.add(key);
        Set<String> names = new LinkedHashSet<>();
        Located value = value(key);
        if (value == null) {
            return names;
        }
        if (!(value instanceof Arr list)) {
            problem(value, key, "must be a list in brackets");
            return names;
        }
        Set<String> seen = new HashSet<>();
        for (Located item : list.items()) {
            if (!(item instanceof Scalar scalar) || !(scalar.value() instanceof String text)) {
                problem(item, key, "must hold texts in quotes");
            } else if (!allowed.contains(text)) {
                problem(item, key, "'" + text + "' is not known; use one of " + allowed);
            } else if (!seen.add(text)) {
                problem(item, key, "'" + text + "' stands twice; remove one");
            } else {
                names.add(text);
            }
        }
        return names;
    }

    /** Adds a problem at a key that was read. */
    void reject(String key, String message) {
        Located value = value(key);
        problem(value == null ? mObject : value, key, message);
    }

    /** Makes a problem that is only a warning. */
    SettingsProblem warning(String key, String message) {
        Located at = value(key) == null ? mObject : value(key);
        return new SettingsProblem(mFile, at.line(), at.column(), path(key), message);
    }

    /** Reports every key that was never asked for. */
    void finish() {
        mObject.fields()
                .forEach(
                        (key, value) -> {
                            if (!mKnown.contains(key)) {
                                problem(value, key, "is not known; " + suggestion(key));
                            }
                        });
    }

    private String suggestion(String key) {
        String stem = withoutUnit(key);
        for (String known : mKnown) {
            if (withoutUnit(known).equalsIgnoreCase(stem)) {
                return "did you mean \"" + known + "\"?";
            }
        }
        return "known here are " + mKnown;
    }

    private static String withoutUnit(String key) {
        return key.replaceFirst("(?:Millis|Seconds|Minutes|Ms|Bytes|Kb|Mb|Percent)$", "");
    }

    private long number(String key, Long defaultNumber, long least, long most, String what) {
        mKnown.add(key);
        Located value = value(key);
        if (value == null) {
            if (defaultNumber == null) {
                problem(mObject, key, "is missing; give " + what);
                return least;
            }
            return defaultNumber;
        }
        if (!(value instanceof Scalar scalar) || !(scalar.value() instanceof BigInteger number)) {
            problem(value, key, "must be " + what + " without unit or quotes");
            return least;
        }
        if (number.compareTo(BigInteger.valueOf(least)) < 0
                || number.compareTo(BigInteger.valueOf(most)) > 0) {
            problem(
                    value,
                    key,
                    "is " + number + "; give " + what + " from " + least + " to " + most);
            return least;
        }
        return number.longValue();
    }

    private Located value(String key) {
        return mObject.fields().get(key);
    }

    private String path(String key) {
        return mPath.isEmpty() ? key : mPath + "." + key;
    }

    private void problem(Located at, String key, String message) {
        mProblems.add(new SettingsProblem(mFile, at.line(), at.column(), path(key), message));
    }
}
