package org.fennelstage.fleet;

/**
 * How many idle connections a VM keeps to one backend server.
 *
 * <p>A backend server accepts a limited number of connections from all VMs together and resets any
 * beyond that. Idle connections add up over the VMs; if they used up the limit, new connections
 * would be reset, and requests that must not be retried would end with an unknown outcome.
 *
 * <p>Invariant: the idle connections of all VMs stay within {@link #IDLE_FRACTION} of the limit, as
 * long as each VM knows all others. Immutable and thread-safe.
 *
 * <pre>{@code
 * new ConnectionShare(440, 64).maxIdleConnections()  // 3
 * }</pre>
 *
 * @param accepted how many connections the backend server accepts from all VMs together
 * @param vms how many VMs there are, 0 if not known yet
 */
public record ConnectionShare(int accepted, int vms) {

    /**
     * Fraction of the accepted connections that may be idle. The rest is for running requests, for
     * VMs that have just started, and for a backend server that accepts fewer while its queue is
     * long.
     */
    static final double IDLE_FRACTION = 0.5;

    /** Upper limit of idle connections that one VM keeps. */
    static final int MAX_IDLE = 16;

    /** Number of VMs assumed until the others are known. */
    private static final int DEFAULT_VMS = 64;

    /**
     * Returns how many idle connections this VM keeps to the backend server.
     *
     * @return the count, 0 if each request opens its own connection
     */
    public int maxIdleConnections() {
        final int sharers = vms > 0 ? vms : DEFAULT_VMS;
        return Math.min(MAX_IDLE, (int) (accepted * IDLE_FRACTION / sharers));
    }
}
