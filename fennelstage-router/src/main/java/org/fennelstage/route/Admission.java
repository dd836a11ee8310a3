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
 * Admits requests within their team's rate and concurrency, or refuses them at once.
 *
 * <p>The rate of a team is for all VMs together; each admits an equal part of it. Thread-safe.
 */
final class Admission {

    private static final Duration CONCURRENCY_RETRY = Duration.ofSeconds(1);
    private static final double BURST_SECONDS = 2;
    private static final double LEAST_BURST = 2;

    private final InstantSource clock;
    private final IntSupplier vms;
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
     * Creates an admission.
     *
     * @param clock the clock
     * @param vms tells how many VMs share a team's rate
     */
    Admission(final InstantSource clock, final IntSupplier vms) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.vms = Objects.requireNonNull(vms, "vms is null");
    }

    /**
     * Admits a request; an admitted one must be ended with {@link #end}.
     *
     * @param team the team
     * @return empty if admitted, else the refusal
     */
    Optional<Outcome.NotRun> begin(final Team team) {
        final double rate = team.requestsPerSecond() / Math.max(1, vms.getAsInt());
        final double burst = Math.max(LEAST_BURST, rate * BURST_SECONDS);
        final Entry entry =
                entries.computeIfAbsent(
                        team.id(), t -> new Entry(TokenBucket.of(clock, rate, burst), rate));
        if (entry.rate != rate) {
            entry.rate = rate;
            entry.bucket.resize(rate, burst);
        }
        if (entry.inFlight.incrementAndGet() > team.concurrency()) {
            entry.inFlight.decrementAndGet();
            return refuse(team, "requests in flight", CONCURRENCY_RETRY);
        }
        final Optional<Duration> wait = entry.bucket.tryTake();
        if (wait.isPresent()) {
            entry.inFlight.decrementAndGet();
            return refuse(team, "requests per second", wait.get());
        }
        inFlight.incrementAndGet();
        return Optional.empty();
    }

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

    private static Optional<Outcome.NotRun> refuse(
            final Team team, final String what, final Duration wait) {
        return Optional.of(
                Outcome.notRun(
                        Reason.LIMIT, "team " + team.id() + " is over its limit of " + what, wait));
    }
}
