package org.fennelstage.admission;

import java.util.Objects;

/**
 * A traffic class whose requests for permits began or ceased to be denied for exceeding its share.
 * Immutable and thread-safe.
 *
 * @param traffic the class
 * @param limited whether requests are denied
 * @param denied the number of requests denied since the previous change of the class
 * @param perSecond requests per second of the class
 * @param sharePerSecond requests per second of the class that are admitted; infinite if all are
 * @param capacityPerSecond requests per second that the backend server can complete
 */
public record AdmissionChange(
        TrafficClass traffic,
        boolean limited,
        long denied,
        double perSecond,
        double sharePerSecond,
        double capacityPerSecond) {

    public AdmissionChange {
        Objects.requireNonNull(traffic, "traffic is null");
    }
}
