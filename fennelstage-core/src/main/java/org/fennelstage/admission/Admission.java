package org.fennelstage.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * What a request may use of a saturated backend server by the share of its class. Immutable and
 * thread-safe.
 *
 * @param traffic the class as which the request counts
 * @param standing the use of its share by the class
 * @param admittedPart the part of the requests of the class that its share admits, in [0, 1]
 * @param untilCredit the time until the credit of the class holds a permit; zero if it does
 * @param protectedPart the part of the capacity that goes to classes of which a larger part is
 *     admitted, in [0, 1]
 */
public record Admission(
        TrafficClass traffic,
        Standing standing,
        double admittedPart,
        Duration untilCredit,
        double protectedPart) {

    /** The use of its share by a class. */
    public enum Standing {
        /** The class gets all it asks for. */
        WITHIN_SHARE,
        /** The class asks for more than its share; this request is a part of the share. */
        LIMITED,
        /** The class asks for more than its share, and this request exceeds it. */
        OVER_SHARE
    }

    public Admission {
        Objects.requireNonNull(traffic, "traffic is null");
        Objects.requireNonNull(standing, "standing is null");
        Objects.requireNonNull(untilCredit, "untilCredit is null");
    }

    /**
     * Returns what a request may use whose class gets all it asks for.
     *
     * @param traffic the class as which the request counts
     * @return all that the limit allows
     */
    static Admission withinShare(final TrafficClass traffic) {
        return new Admission(traffic, Standing.WITHIN_SHARE, 1, Duration.ZERO, 0);
    }
}
