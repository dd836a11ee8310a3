package org.fennelstage.outcome;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The end of a request as its caller is told: exactly one of four kinds.
 *
 * <p>Laws: {@link NotRun} is used only if no byte of the request reached a backend server and none
 * will; {@link Unknown} whenever a byte may have. Immutable and thread-safe.
 */
public sealed interface Outcome {

    /**
     * Returns the stable name of this kind, as found in response bodies, bills and logs.
     *
     * @return the name
     */
    String kind();

    /** The whole answer was delivered. */
    record Complete() implements Outcome {
        @Override
        public String kind() {
            return "complete";
        }
    }

    /**
     * The request did not run and never will under this attempt.
     *
     * @param reason why
     * @param detail text for a person
     * @param retryAfter when a new attempt makes sense; empty if it never does unchanged
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
     * The request may have run; nobody can tell.
     *
     * @param detail text for a person
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
     * The request ran and did not end in a whole answer for this caller.
     *
     * @param detail text for a person
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
     * A refusal without advice on when to come back.
     *
     * @param reason why
     * @param detail text for a person
     * @return the outcome
     */
    static NotRun notRun(final Reason reason, final String detail) {
        return new NotRun(reason, detail, Optional.empty());
    }

    /**
     * A refusal that tells when to come back.
     *
     * @param reason why
     * @param detail text for a person
     * @param retryAfter when a new attempt makes sense
     * @return the outcome
     */
    static NotRun notRun(final Reason reason, final String detail, final Duration retryAfter) {
        return new NotRun(reason, detail, Optional.of(retryAfter));
    }
}
