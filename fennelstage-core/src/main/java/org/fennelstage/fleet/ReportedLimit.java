package org.fennelstage.fleet;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.time.MonotonicClock;

/**
 * The rate limit that one backend server reports in its responses for as long as it needs it.
 *
 * <p>The limit ends when the backend server responds without it, or when neither this VM nor
 * another one has received a response with it for {@link #TTL_MILLIS}. A response to a request that
 * was sent before this VM knew of the limit does not end it, since it may have been made before the
 * limit began.
 *
 * <p>Not thread-safe.
 */
final class ReportedLimit {

    /**
     * How long a limit holds after the last report; milliseconds. Covers a backend server that is
     * too slow to respond several times within this time.
     */
    static final long TTL_MILLIS = 8_000;

    private final MonotonicClock clock;
    private Optional<RateLimit> limit = Optional.empty();
    private long knownSinceMillis;
    private long reportedMillis;

    ReportedLimit(final MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /** Returns the limit, empty if there is none. */
    Optional<RateLimit> current() {
        if (limit.isPresent() && clock.millis() - reportedMillis > TTL_MILLIS) {
            limit = Optional.empty();
        }
        return limit;
    }

    /**
     * Records that the backend server reported a limit.
     *
     * @return whether it differs from the limit before
     */
    boolean onReported(final RateLimit reported) {
        final Optional<RateLimit> before = current();
        if (before.isEmpty()) {
            knownSinceMillis = clock.millis();
        }
        reportedMillis = clock.millis();
        limit = Optional.of(reported);
        return !limit.equals(before);
    }

    /**
     * Records a response without a limit.
     *
     * @param sentMillis when the request was sent, by the same clock
     * @return whether this ends the limit
     */
    boolean onUnlimitedResponse(final long sentMillis) {
        return sentMillis > knownSinceMillis && onEnded();
    }

    /**
     * Records that another VM found the limit to have ended.
     *
     * @return whether there was one
     */
    boolean onEnded() {
        final boolean ended = current().isPresent();
        limit = Optional.empty();
        return ended;
    }
}
