package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds that the deployment sets. Immutable and thread-safe.
 *
 * @param retryRatio repeats per request that the whole fleet may make in a window
 * @param retryWindow the window
 * @param retrySlack repeats beyond that for the whole fleet
 * @param canaryShare the largest part of a service's requests that a bad version may get
 * @param configurationDelay how long after the store's acknowledgement of a configuration a VM may
 *     act by the one before
 * @param drainingDelay how long after the store's acknowledgement that a worker leaves a VM may
 *     send it requests
 * @param grace how long a process may go on after it was asked to stop
 */
public record GatewaySettings(
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        double canaryShare,
        Duration configurationDelay,
        Duration drainingDelay,
        Duration grace) {

    public GatewaySettings {
        Objects.requireNonNull(retryWindow, "retryWindow is null");
        Objects.requireNonNull(configurationDelay, "configurationDelay is null");
        Objects.requireNonNull(drainingDelay, "drainingDelay is null");
        Objects.requireNonNull(grace, "grace is null");
    }

    /**
     * Returns how long news from the store may take to reach a VM, whatever it is about.
     *
     * @return the shorter of both delays
     */
    public Duration minPropagationDelay() {
        return configurationDelay.compareTo(drainingDelay) < 0 ? configurationDelay : drainingDelay;
    }
}
