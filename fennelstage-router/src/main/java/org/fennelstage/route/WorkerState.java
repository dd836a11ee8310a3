package org.fennelstage.route;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import org.fennelstage.backend.Breaker;

/** What this VM knows of one backend server. Thread-safe. */
final class WorkerState {

    private final AtomicInteger inFlight = new AtomicInteger();
    private final Breaker breaker;

    WorkerState(final InstantSource clock) {
        this.breaker = Breaker.of(clock);
    }

    AtomicInteger inFlight() {
        return inFlight;
    }

    Breaker breaker() {
        return breaker;
    }
}
