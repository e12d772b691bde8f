/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A deterministic language model: each token depends on the prompt and on its position only.
 *
 * <p>So a test can tell the whole answer to a prompt, and an answer that moves from one engine to
 * another goes on with the same tokens. A prompt may hold the text "[answer-length N]"; then the
 * answer ends by itself after N tokens. Stateless and thread-safe.
 */
public final class FakeModel {
    private static final Pattern LENGTH = Pattern.compile("\\[answer-length (\\d{1,9})\\]");
    private static final Pattern TOKEN = Pattern.compile(" w(\\d{1,9})\\.([0-9a-f]{6})");
    private static final int HASH_DIGITS = 6;

    private FakeModel() {}

    /**
     * Plans the answer to a prompt, which may end with the first tokens of its own answer.
     *
     * @param prompt the prompt
     * @param maxTokens the most tokens wanted
     * @return the plan
     */
    public static Plan plan(String prompt, int maxTokens) {
        int baseLength = baseLength(prompt);
        String base = prompt.substring(0, baseLength);
        int start = count(prompt.substring(baseLength));
        int natural = naturalLength(base);
        int left = Math.max(0, natural - start);
        return new Plan(hash(base), start, Math.min(maxTokens, left), left <= maxTokens);
    }

    /**
     * Returns the whole answer to a prompt.
     *
     * @param prompt the prompt
     * @param maxTokens the most tokens wanted
     * @return the text
     */
    public static String answer(String prompt, int maxTokens) {
        Plan plan = plan(prompt, maxTokens);
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < plan.count(); i++) {
            tokens.add(plan.token(i));
        }
        return String.join("", tokens);
    }

    private static int naturalLength(String base) {
        Matcher matcher = LENGTH.matcher(base);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : Integer.MAX_VALUE;
    }

    /** Finds where the prompt proper ends and tokens of its own answer begin. */
    private static int baseLength(String prompt) {
        int start = prompt.length();
        int base = start;
        while (true) {
            int before = prompt.lastIndexOf(" w", start - 1);
            if (before < 0 || !TOKEN.matcher(prompt.substring(before, start)).matches()) {
                return base;
            }
            start = before;
            if (prompt.startsWith(" w0." + hash(prompt.substring(0, start)), start)) {
                base = start;
            }
        }
    }

    private static int count(String generated) {
        int count = 0;
        Matcher matcher = TOKEN.matcher(generated);
        while (matcher.find()) {
            count++;
        }
        return count;
    }

    private static String hash(String base) {
        String digits = Hashing.sha256().hashString(base, StandardCharsets.UTF_8).toString();
        return digits.substring(0, HASH_DIGITS);
    }

    /**
     * What an engine will generate. Immutable.
     *
     * @param hash names the prompt
     * @param start the position of the first token in the whole answer
     * @param count the number of tokens
     * @param natural true if the answer ends by itself, false if it is cut at the limit
     */
    public record Plan(String hash, int start, int count, boolean natural) {
        /**
         * Returns a token.
         *
         * @param index its index in this plan, from 0
         * @return its text
         */
        public String token(int index) {
            return " w" + (start + index) + "." + hash;
        }
    }
}
