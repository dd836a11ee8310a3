package org.fennelstage.route;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.fennelstage.id.TeamId;
import org.fennelstage.limit.TokenBucket;
import org.fennelstage.outcome.Outcome;
import org.fennelstage.outcome.Reason;
import org.fennelstage.team.Team;

/**
 * Enforces each team's request rate and concurrency limits; requests over a limit are rejected
 * immediately.
 *
 * <p>A team's rate limit applies to all VMs together; each VM admits an equal part of it.
 * Thread-safe.
 */
final class Admission {

    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofSeconds(1);
    private static final double BURST_SECONDS = 2;
    private static final double MIN_BURST = 2;

    private final InstantSource clock;
    private final IntSupplier vmCount;
    private final Map<TeamId, Entry> entries = new ConcurrentHashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();

    private static final class Entry {
        private final TokenBucket bucket;
        private final AtomicInteger inFlight = new AtomicInteger();
        private volatile double rate;

        Entry(final TokenBucket bucket, final double rate) {
            this.bucket = bucket;
            this.rate = rate;
        }
    }

    /**
     * Creates an admission control without requests in flight.
     *
     * @param clock the clock
     * @param vmCount returns the number of VMs that share a team's rate limit
     */
    Admission(final InstantSource clock, final IntSupplier vmCount) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.vmCount = Objects.requireNonNull(vmCount, "vmCount is null");
    }

    /**
     * Admits or rejects a request. Each admitted request must be released with {@link #end}.
     *
     * @param team the team
     * @return the rejection, empty if the request is admitted
     */
    Optional<Outcome.NotRun> begin(final Team team) {
        final double rate = team.requestsPerSecond() / Math.max(1, vmCount.getAsInt());
        final double burst = Math.max(MIN_BURST, rate * BURST_SECONDS);
        final Entry entry =
                entries.computeIfAbsent(
                        team.id(), id -> new Entry(TokenBucket.of(clock, rate, burst), rate));
        if (entry.rate != rate) {
            entry.rate = rate;
            entry.bucket.resize(rate, burst);
        }
        if (entry.inFlight.incrementAndGet() > team.concurrency()) {
            entry.inFlight.decrementAndGet();
            return reject(team, "requests in flight", CONCURRENCY_RETRY_AFTER);
        }
        final Optional<Duration> retryAfter = entry.bucket.tryTake();
        if (retryAfter.isPresent()) {
            entry.inFlight.decrementAndGet();
            return reject(team, "requests per second", retryAfter.get());
        }
        inFlight.incrementAndGet();
        return Optional.empty();
    }

    /** Releases an admitted request. */
    void end(final Team team) {
        inFlight.decrementAndGet();
        final Entry entry = entries.get(team.id());
        if (entry != null) {
            entry.inFlight.decrementAndGet();
        }
    }

    int inFlight() {
        return inFlight.get();
    }

    private static Optional<Outcome.NotRun> reject(
            final Team team, final String limitName, final Duration retryAfter) {
        return Optional.of(
                Outcome.notRun(
                        Reason.LIMIT,
                        "team " + team.id() + " exceeds its limit of " + limitName,
                        retryAfter));
    }
}
