package org.fennelstage.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.fennelstage.fleet.RateLimit;

/**
 * The decoded head of a backend server's response. Immutable except for the headers, which must not
 * be modified.
 *
 * @param status the status code
 * @param trust what the response proves about the request
 * @param headers the headers to forward to the caller
 * @param confidence the confidence of the model in its answer, 0 to 100; empty if not given
 * @param draining whether the backend server reports that it is draining
 * @param rejectsFor how long the backend server rejects further requests of this VM, empty if not
 *     given
 * @param limit the rate of requests that the backend server accepts from all VMs together, empty if
 *     it reports none
 * @param brittle whether the backend server reports that it stops after too many rejections
 */
public record ResponseHead(
        int status,
        Trust trust,
        HttpHeaders headers,
        OptionalInt confidence,
        boolean draining,
        Optional<Duration> rejectsFor,
        Optional<RateLimit> limit,
        boolean brittle) {

    /** What a response proves about the request. */
    public enum Trust {
        /** The backend server did not run the request and never will. */
        REJECTED,
        /** The backend server signed the response, whatever its status. */
        SIGNED,
        /** The response may come from an intermediary; the request may have run. */
        UNSIGNED
    }

    public ResponseHead {
        Objects.requireNonNull(trust, "trust is null");
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(confidence, "confidence is null");
        Objects.requireNonNull(rejectsFor, "rejectsFor is null");
        Objects.requireNonNull(limit, "limit is null");
    }

    boolean isSuccess() {
        return trust == Trust.SIGNED && status >= 200 && status < 300;
    }

    boolean isServerFailure() {
        return trust == Trust.SIGNED && status >= 500;
    }
}
