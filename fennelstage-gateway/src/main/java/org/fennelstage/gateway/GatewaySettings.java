package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds set by the deployment. Immutable and thread-safe.
 *
 * @param retryRatio maximum retries per request of the whole fleet within a window
 * @param retryWindow the window
 * @param retrySlack further retries within a window of the whole fleet
 * @param canaryShare maximum share of a service's requests that a bad version may receive
 * @param configurationDelay how long after the store has acknowledged a configuration a VM may use
 *     the previous one
 * @param drainingDelay how long after the store has acknowledged that a backend server is draining
 *     a VM may send it requests
 * @param grace how long a process may run on after it was asked to stop
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
     * Returns the time within which any change in the store must reach a VM.
     *
     * @return the shorter of both delays
     */
    public Duration maxPropagationDelay() {
        return configurationDelay.compareTo(drainingDelay) < 0 ? configurationDelay : drainingDelay;
    }
}
