package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds that the deployment sets. Immutable and thread-safe.
 *
 * @param repeatRatio repeats per request that the whole fleet may make in a window
 * @param repeatWindow the window
 * @param repeatSlack repeats beyond that for the whole fleet
 * @param canaryShare the largest part of a service's requests that a bad version may get
 * @param configurationDelay how long after the store's acknowledgement of a configuration a VM may
 *     act by the one before
 * @param leavingDelay how long after the store's acknowledgement that a worker leaves a VM may send
 *     it requests
 * @param grace how long a process may go on after it was asked to stop
 */
public record GatewaySettings(
        double repeatRatio,
        Duration repeatWindow,
        double repeatSlack,
        double canaryShare,
        Duration configurationDelay,
        Duration leavingDelay,
        Duration grace) {

    public GatewaySettings {
        Objects.requireNonNull(repeatWindow, "repeatWindow is null");
        Objects.requireNonNull(configurationDelay, "configurationDelay is null");
        Objects.requireNonNull(leavingDelay, "leavingDelay is null");
        Objects.requireNonNull(grace, "grace is null");
    }

    /**
     * Returns how long news from the store may take to reach a VM, whatever it is about.
     *
     * @return the shorter of both delays
     */
    public Duration newsDelay() {
        return configurationDelay.compareTo(leavingDelay) < 0 ? configurationDelay : leavingDelay;
    }
}
