package org.fennelstage.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.placement.Job;
import org.fennelstage.policy.Mechanism;

/**
 * Estimates when a request can start, from the observed latencies of its service.
 *
 * <p>Under overload, a request that cannot start before its deadline is rejected at once instead of
 * occupying a backend server.
 *
 * <p>Invariant: nothing is rejected before enough latency samples exist, nor while a backend server
 * has free capacity.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class WaitEstimator {

    /** Minimum range of the jitter added to retry times; milliseconds. */
    private static final double MIN_JITTER_MILLIS = 200;

    private final Gateway gateway;
    private final CallerRequest request;

    WaitEstimator(final Gateway gateway, final CallerRequest request) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.request = Objects.requireNonNull(request, "request is null");
    }

    /** Returns the request as input for placement. */
    Job job(final ServiceName service, final Optional<ModelId> model) {
        final LatencyEstimator latency = gateway.state().latencyEstimator(service, model);
        final boolean cacheAware = gateway.policy().uses(Mechanism.MEMORY_AFFINITY);
        return new Job(
                request.prompt(),
                model,
                cacheAware,
                latency.prefillMillisPerToken(),
                latency.responseMillis());
    }

    /**
     * Returns the shortest time until any backend server can start the request.
     *
     * @return milliseconds, empty if there is free capacity, too few samples or no reachable
     *     backend server
     */
    OptionalDouble minWaitMillis(
            final ServiceName service,
            final List<TrackedServer> candidates,
            final Optional<ModelId> model) {
        if (!gateway.state().latencyEstimator(service, model).hasEnoughSamples()) {
            return OptionalDouble.empty();
        }
        return gateway.placement().minWaitMillis(candidates, job(service, model));
    }

    /**
     * Returns the minimum wait in milliseconds if it exceeds the remaining time, otherwise empty.
     */
    OptionalDouble excessiveWaitMillis(
            final ServiceName service,
            final List<TrackedServer> candidates,
            final Optional<ModelId> model,
            final Duration remaining) {
        if (!gateway.policy().uses(Mechanism.EARLY_REFUSAL)) {
            return OptionalDouble.empty();
        }
        final OptionalDouble wait = minWaitMillis(service, candidates, model);
        return wait.isPresent() && wait.getAsDouble() > remaining.toMillis()
                ? wait
                : OptionalDouble.empty();
    }

    /**
     * Returns a time plus jitter of up to {@link #MIN_JITTER_MILLIS}, so that callers rejected
     * together do not retry together.
     */
    Duration withJitter(final Duration time) {
        final double jitterMillis = gateway.random().nextDouble() * MIN_JITTER_MILLIS;
        return time.plusMillis(Math.round(jitterMillis));
    }

    /**
     * Returns when a rejected caller should retry: once the expected wait has fallen to what the
     * caller can wait for, plus jitter of up to the same time so that callers rejected together do
     * not retry together.
     */
    Duration retryAfter(final double waitMillis, final Duration remaining) {
        final double excessMillis = waitMillis - remaining.toMillis();
        final double jitterMillis = Math.max(MIN_JITTER_MILLIS, excessMillis);
        return Duration.ofMillis(
                Math.round(excessMillis + gateway.random().nextDouble() * jitterMillis));
    }
}
