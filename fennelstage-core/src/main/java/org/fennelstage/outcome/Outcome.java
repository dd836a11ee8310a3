package org.fennelstage.outcome;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The outcome of a request as reported to its caller: exactly one of four kinds.
 *
 * <p>Invariants: {@link NotRun} is used only if no byte of the request reached a backend server and
 * none will; {@link Unknown} is used if a byte may have reached one and the result is not known.
 * Immutable and thread-safe.
 */
public sealed interface Outcome {

    /**
     * Returns the stable name of this kind, as used in responses, logs and metrics.
     *
     * @return the name
     */
    String kind();

    /** The complete response was delivered. */
    record Complete() implements Outcome {
        @Override
        public String kind() {
            return "complete";
        }
    }

    /**
     * The request was rejected: it did not run and will not run.
     *
     * @param reason the reason for the rejection
     * @param detail human-readable explanation
     * @param retryAfter the delay after which the caller may send the request again; empty if the
     *     unchanged request would be rejected again
     */
    record NotRun(Reason reason, String detail, Optional<Duration> retryAfter) implements Outcome {
        public NotRun {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(detail, "detail is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }

        @Override
        public String kind() {
            return "refused-not-run";
        }
    }

    /**
     * It is not known whether the request ran.
     *
     * @param detail human-readable explanation
     */
    record Unknown(String detail) implements Outcome {
        public Unknown {
            Objects.requireNonNull(detail, "detail is null");
        }

        @Override
        public String kind() {
            return "outcome-unknown";
        }
    }

    /**
     * The request ran, but its caller did not get a complete response.
     *
     * @param detail human-readable explanation
     */
    record FailedAfterRun(String detail) implements Outcome {
        public FailedAfterRun {
            Objects.requireNonNull(detail, "detail is null");
        }

        @Override
        public String kind() {
            return "failed-after-run";
        }
    }

    /**
     * Returns a rejection that does not advise to send the request again.
     *
     * @param reason the reason for the rejection
     * @param detail human-readable explanation
     * @return the outcome
     */
    static NotRun notRun(final Reason reason, final String detail) {
        return new NotRun(reason, detail, Optional.empty());
    }

    /**
     * Returns a rejection that advises to send the request again after a delay.
     *
     * @param reason the reason for the rejection
     * @param detail human-readable explanation
     * @param retryAfter the delay after which the caller may send the request again
     * @return the outcome
     */
    static NotRun notRun(final Reason reason, final String detail, final Duration retryAfter) {
        return new NotRun(reason, detail, Optional.of(retryAfter));
    }
}
