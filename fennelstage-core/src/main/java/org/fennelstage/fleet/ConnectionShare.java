package org.fennelstage.fleet;

/**
 * How many connections a VM keeps at one worker while no call uses them.
 *
 * <p>A worker accepts a number of connections from all VMs together and resets what goes beyond it.
 * What VMs keep adds up over the fleet while calls under way do not: those are bounded by what the
 * worker works on. Kept without regard to the other VMs, they fill a worker by themselves; it
 * resets new ones, and calls that may run once end with their outcome unknown.
 *
 * <p>Law: what all VMs keep stays within {@link #KEPT_PART} of what the worker accepts, as long as
 * each knows of all others. Immutable and thread-safe.
 *
 * <pre>{@code
 * new ConnectionShare(440, 64).maxIdleConnections()  // 3
 * }</pre>
 *
 * @param accepted how many connections the worker accepts from all VMs together
 * @param vms how many VMs there are, 0 if that is not known yet
 */
public record ConnectionShare(int accepted, int vms) {

    /**
     * Part of the connections that may be kept. The rest is for calls under way, for VMs that have
     * just started, and for a worker that accepts fewer while its queue is long.
     */
    static final double KEPT_PART = 0.5;

    /** More than that are never of use to one VM. */
    static final int MOST = 16;

    /** VMs assumed by one that has just started and does not know the others. */
    private static final int VMS_UNTIL_KNOWN = 64;

    /**
     * Returns how many idle connections this VM keeps at the worker.
     *
     * @return the count, 0 if each call is to have a connection of its own
     */
    public int maxIdleConnections() {
        final int sharers = vms > 0 ? vms : VMS_UNTIL_KNOWN;
        return Math.min(MOST, (int) (accepted * KEPT_PART / sharers));
    }
}
