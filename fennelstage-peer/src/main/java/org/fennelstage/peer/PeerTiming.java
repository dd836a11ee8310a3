package org.fennelstage.peer;

import java.time.Duration;

/**
 * How often VMs talk to each other without cause. Immutable and thread-safe.
 *
 * @param period one probe is sent each period
 * @param timeout how long a probe waits for its answer; at most a third of the period
 * @param suspicion how long a suspect has to contradict before it is dead
 */
public record PeerTiming(Duration period, Duration timeout, Duration suspicion) {

    /** Finds a dead VM within about five seconds for about 0.5 KB a second. */
    public static final PeerTiming DEFAULT =
            new PeerTiming(Duration.ofSeconds(1), Duration.ofMillis(300), Duration.ofSeconds(3));
}
