package org.fennelstage.route;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import org.fennelstage.backend.Breaker;

/**
 * This VM's requests in flight at one backend server and the server's circuit breaker. Thread-safe.
 */
final class ServerState {

    private final AtomicInteger inFlight = new AtomicInteger();
    private final Breaker breaker;

    ServerState(final InstantSource clock) {
        this.breaker = Breaker.of(clock);
    }

    AtomicInteger inFlight() {
        return inFlight;
    }

    Breaker breaker() {
        return breaker;
    }
}
