package org.fennelstage.http;

import java.time.Duration;

/**
 * Limits that separate a pause of the event loop from its normal delay.
 *
 * <p>After a pause of the process the event loop runs due timers before it reads what has arrived
 * meanwhile. Stateless and thread-safe.
 */
public final class EventLoopPause {

    /**
     * Shortest delay that is a pause. Exceeds the time for which a VM without processor quota
     * stands still in each tenth of a second.
     */
    public static final Duration MIN_DELAY = Duration.ofMillis(250);

    /** Time to read what has arrived during a pause. */
    public static final Duration READ_TIME = Duration.ofMillis(20);

    private EventLoopPause() {}
}
