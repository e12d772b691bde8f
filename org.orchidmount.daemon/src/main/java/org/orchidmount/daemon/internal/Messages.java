/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

/** The texts that callers read, in one place. */
final class Messages {
    static final String NO_ACCOUNT =
            "no account: send the account's key as 'Authorization: Bearer KEY'";
    static final String UNKNOWN_ACCOUNT = "unknown account: the key is not in the table";
    static final String UNKNOWN_CLASS = "unknown request class '%s': name one that the table holds";
    static final String UNKNOWN_MODEL = "unknown model '%s': name one that the table holds";
    static final String UNKNOWN_PATH = "no route covers %s %s: add one to the table";
    static final String WRONG_METHOD = "%s needs the method %s";
    static final String WRONG_MEDIA_TYPE = "unsupported media type '%s': send application/json";
    static final String NOT_JSON = "the body is not JSON: %s";
    static final String NOT_OBJECT = "the body must be a JSON object";
    static final String MISSING_FIELD = "the field '%s' is missing or has the wrong type: %s";
    static final String BAD_HEADER = "the header '%s' has the value '%s': %s";
    static final String ONE_CHOICE = "the field 'n' is %d: only one choice is served";
    static final String PROMPT_TOO_LONG = "the prompt has about %d tokens: the model takes %d";
    static final String OUTPUT_TOO_LONG = "max_tokens is %d: give 1 to %d";
    static final String BODY_TOO_LARGE = "the body is larger than %d bytes";
    static final String NO_BODY_MEMORY =
            "the bodies of other requests take the memory; come back later";
    static final String BODY_TOO_SLOW = "the body did not arrive in %d ms";
    static final String BODY_CUT = "the body ended before its announced length";
    static final String TOO_LATE = "the first token would come too late";
    static final String WAITED_TOO_LONG = "no engine had room within the time the class allows";
    static final String QUEUE_FULL = "too many requests of the class are waiting";
    static final String RATE_LIMIT = "the account's rate of requests is reached";
    static final String LIMIT_REACHED = "the limit of %s is reached";
    static final String TOO_LARGE = "no engine has the memory for the request";
    static final String STOPPING = "this instance is stopping: send the request to another";
    static final String UPSTREAMS_FAILED = "the request failed: %s";
    static final String NO_UPSTREAM = "no upstream of pool %s is available";
    static final String KEY_NEEDED =
            "this call must run at most once: send your own key in the header 'Idempotency-Key'";
    static final String KEY_TOO_LONG = "the header 'Idempotency-Key' has more than %d characters";
    static final String KEY_MISMATCH =
            "the key was used before with another request: use a new one";
    static final String CLAIM_UNKNOWN =
            "it cannot be told whether the call ran (%s): ask the service, then use a new key";
    static final String CLAIM_RUNNING = "the call is still running: send it again later";
    static final String CLAIM_UNAVAILABLE = "the call cannot be recorded now: send it again later";
    static final String ANSWER_NOT_KEPT = "the call ran, but its answer was too large to be kept";
    static final String QUARANTINED =
            "engines crash when they run this request, so it is not run any more (fingerprint %s)";
    static final String COPY_RUNS =
            "an engine crashed under this request, and another copy of it runs now";
    static final String BAD_RESUME_TOKEN = "the resume token is not valid or has run out";
    static final String RESUME_FAILED = "the stream cannot be taken up: %s";

    private Messages() {}
}
