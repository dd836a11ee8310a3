package org.fennelstage.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.id.ServiceName;
import org.fennelstage.time.MonotonicClock;

/**
 * Services whose backend servers report that they stop when they have to reject too many requests.
 *
 * <p>Invariant: a service is brittle from a response that says so until the first one that does
 * not, or for {@link #TTL_MILLIS} without a response. Not thread-safe.
 */
public final class BrittleServices {

    /** How long a report counts; milliseconds. Covers servers that are down for some seconds. */
    static final long TTL_MILLIS = 8_000;

    private final MonotonicClock clock;
    private final Map<ServiceName, Long> untilMillis = new HashMap<>();

    private BrittleServices(final MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns an instance without brittle services.
     *
     * @param clock the clock
     * @return the instance
     */
    public static BrittleServices empty(final MonotonicClock clock) {
        return new BrittleServices(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Records a response of a backend server.
     *
     * @param service its service
     * @param brittle whether the response says that the server is brittle
     * @return whether this changes the state of the service
     */
    public boolean onResponse(final ServiceName service, final boolean brittle) {
        final boolean before = isBrittle(service);
        if (brittle) {
            untilMillis.put(service, clock.millis() + TTL_MILLIS);
        } else {
            untilMillis.remove(service);
        }
        return before != brittle;
    }

    /**
     * Returns whether the backend servers of a service are brittle.
     *
     * @param service the service
     * @return true if so
     */
    public boolean isBrittle(final ServiceName service) {
        final Long until = untilMillis.get(service);
        return until != null && clock.millis() < until;
    }

    @Override
    public String toString() {
        return "BrittleServices" + untilMillis.keySet();
    }
}
