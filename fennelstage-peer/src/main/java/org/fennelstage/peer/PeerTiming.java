package org.fennelstage.peer;

import java.time.Duration;

/**
 * The timing of failure detection between VMs. Immutable and thread-safe.
 *
 * @param period the interval between probes
 * @param timeout the maximum time to wait for the reply to a probe; at most a third of the period
 * @param suspicion the time that a suspected VM has to refute the suspicion before it is marked as
 *     dead
 */
public record PeerTiming(Duration period, Duration timeout, Duration suspicion) {

    /** Detects an unreachable VM within about five seconds. */
    public static final PeerTiming DEFAULT =
            new PeerTiming(Duration.ofSeconds(1), Duration.ofMillis(300), Duration.ofSeconds(3));
}
