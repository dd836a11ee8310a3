package org.fennelstage.gateway;

import java.util.Objects;
import java.util.function.Supplier;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.placement.Job;

/**
 * Asks for one request whether an attempt that begins now is likely to end before this VM exits.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ExitCheck {

    private final Gateway gateway;
    private final Supplier<LatencyEstimator> times;

    /**
     * Creates the check of a request.
     *
     * @param gateway the gateway that may stop
     * @param times supplies the response times of the service and model that it uses now
     */
    ExitCheck(final Gateway gateway, final Supplier<LatencyEstimator> times) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.times = Objects.requireNonNull(times, "times is null");
    }

    /** Returns whether an attempt is likely to end in time at a backend server that is idle. */
    boolean passes() {
        return passesAfter(0);
    }

    /** Returns whether an attempt is likely to end in time after its wait at a backend server. */
    boolean passesAt(final TrackedServer server, final Job job) {
        final double firstByteMillis = gateway.placement().waitMillis(server, job);
        return passesAfter(Math.max(0, firstByteMillis - job.readMillis()));
    }

    private boolean passesAfter(final double waitMillis) {
        return gateway.exitAdmission().admits(waitMillis + times.get().likelyResponseMillis());
    }
}
