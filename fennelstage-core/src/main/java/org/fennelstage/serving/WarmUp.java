package org.fennelstage.serving;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on a service's backend servers that are warming up: after a start, and whenever a server
 * reports that it is warming up. Immutable and thread-safe.
 *
 * @param time how long the warm-up takes after a start
 * @param requestsPerSecond how many requests per second a server accepts from all VMs together
 */
public record WarmUp(Duration time, int requestsPerSecond) {

    public WarmUp {
        Objects.requireNonNull(time, "time is null");
    }
}
