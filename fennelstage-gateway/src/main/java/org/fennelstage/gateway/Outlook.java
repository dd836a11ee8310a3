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
 * When a request can be expected to begin, by what was observed of its service.
 *
 * <p>Answers the load of a service that has more to do than its callers will wait for: what cannot
 * begin in time any more is refused at once instead of taking a worker's time until its deadline.
 * Law: nothing is refused before {@link LatencyEstimator#hasEnoughSamples()}, nor while a place is
 * free. Confined to the event loop.
 */
final class Outlook {

    /** Refused callers come back over at least this long; milliseconds. */
    private static final double LEAST_SPREAD_MILLIS = 200;

    private final Gateway gateway;
    private final CallerRequest request;

    Outlook(final Gateway gateway, final CallerRequest request) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.request = Objects.requireNonNull(request, "request is null");
    }

    /** Returns the request as placement sees it. */
    Job job(final ServiceName service, final Optional<ModelId> model) {
        final LatencyEstimator pace = gateway.beliefs().pace(service, model);
        final boolean sharing = gateway.policy().uses(Mechanism.MEMORY_AFFINITY);
        return new Job(
                request.prompt(),
                model,
                sharing,
                pace.prefillMillisPerToken(),
                pace.responseMillis());
    }

    /**
     * Returns the shortest time in which any worker can begin to answer.
     *
     * @return milliseconds, empty if a place is free, too little is known or no worker can be
     *     reached
     */
    OptionalDouble leastWaitMillis(
            final ServiceName service,
            final List<TrackedServer> candidates,
            final Optional<ModelId> model) {
        if (!gateway.beliefs().pace(service, model).hasEnoughSamples()) {
            return OptionalDouble.empty();
        }
        return gateway.placement().minWaitMillis(candidates, job(service, model));
    }

    /** Returns the least wait if it is longer than the caller will wait. */
    OptionalDouble hopelessMillis(
            final ServiceName service,
            final List<TrackedServer> candidates,
            final Optional<ModelId> model,
            final Duration remaining) {
        if (!gateway.policy().uses(Mechanism.EARLY_REFUSAL)) {
            return OptionalDouble.empty();
        }
        final OptionalDouble wait = leastWaitMillis(service, candidates, model);
        return wait.isPresent() && wait.getAsDouble() > remaining.toMillis()
                ? wait
                : OptionalDouble.empty();
    }

    /**
     * Returns a time with up to {@link #LEAST_SPREAD_MILLIS} more, for callers refused together.
     */
    Duration spread(final Duration time) {
        final double more = gateway.random().nextDouble() * LEAST_SPREAD_MILLIS;
        return time.plusMillis(Math.round(more));
    }

    /**
     * Returns when a refused caller should come back: when the work ahead will have shrunk to what
     * it waits for, and up to as long after that, since callers that are refused together must not
     * come back together.
     */
    Duration comeBack(final double waitMillis, final Duration remaining) {
        final double drainedMillis = waitMillis - remaining.toMillis();
        final double spreadMillis = Math.max(LEAST_SPREAD_MILLIS, drainedMillis);
        return Duration.ofMillis(
                Math.round(drainedMillis + gateway.random().nextDouble() * spreadMillis));
    }
}
