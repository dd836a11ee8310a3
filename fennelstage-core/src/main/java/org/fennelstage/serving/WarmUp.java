package org.fennelstage.serving;

import java.time.Duration;
import java.util.Objects;

/**
 * What a worker of a service stands while it is cold: after its start, and whenever it says so.
 * Immutable and thread-safe.
 *
 * @param time how long a worker that starts stays cold
 * @param requestsPerSecond how many requests it takes in a second from all VMs together
 */
public record WarmUp(Duration time, int requestsPerSecond) {

    public WarmUp {
        Objects.requireNonNull(time, "time is null");
    }
}
