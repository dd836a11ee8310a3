package org.fennelstage.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The head of a worker's answer, decoded. Immutable but for its headers, which nobody changes.
 *
 * @param status the status code
 * @param trust what the worker says of the run
 * @param headers the headers that go on to the caller
 * @param confidence the model's own opinion of the answer, from 0 to 100; empty if not given
 * @param draining whether the worker says that it is about to stop and takes no new work
 * @param rejectsFor for how long the worker wants no request from this VM, if it says so
 */
public record ResponseHead(
        int status,
        Trust trust,
        HttpHeaders headers,
        OptionalInt confidence,
        boolean draining,
        Optional<Duration> rejectsFor) {

    /** What an answer proves. */
    public enum Trust {
        /** The worker says that it did not run the request and never will. */
        REJECTED,
        /** The worker signed the answer: it is its own, whatever its status. */
        SIGNED,
        /** Nothing proves that the answer is the worker's: the request may have run. */
        UNSIGNED
    }

    public ResponseHead {
        Objects.requireNonNull(trust, "trust is null");
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(confidence, "confidence is null");
        Objects.requireNonNull(rejectsFor, "rejectsFor is null");
    }

    boolean isSuccess() {
        return trust == Trust.SIGNED && status >= 200 && status < 300;
    }

    boolean isServerFailure() {
        return trust == Trust.SIGNED && status >= 500;
    }
}
