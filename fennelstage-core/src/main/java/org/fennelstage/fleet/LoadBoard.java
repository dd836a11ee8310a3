package org.fennelstage.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;
import org.fennelstage.time.MonotonicClock;

/**
 * The load of other VMs at the backend servers, as last reported by them.
 *
 * <p>A VM sees only its own requests, which are a fraction of the load of each backend server. The
 * VMs therefore report their load to each other several times a second.
 *
 * <p>They report the outcomes and the pace of their requests with them, which are read less often
 * than the loads and summed when they are.
 *
 * <p>Invariant: the sum for a backend server is that of the latest report of each VM that is not
 * older than {@link #REPORT_TTL_MILLIS}. Not thread-safe.
 */
public final class LoadBoard {

    /**
     * How long a report counts; milliseconds. VMs report at least every 500 ms, so one lost
     * datagram does not expire a report.
     */
    private static final long REPORT_TTL_MILLIS = 1_200;

    private record Report(
            long atMillis, long madeMillis, Map<BackendServerId, Load> loads, double excess) {}

    /** The sender of a report: a VM and, for a report in several parts, the number of the part. */
    private record Source(VmId vm, int part) {}

    private final MonotonicClock clock;
    private final DoubleSupplier scale;
    private final Map<Source, Report> reports = new HashMap<>();
    private final Map<BackendServerId, Load> sums = new HashMap<>();
    private final Deque<Source> oldestFirst = new ArrayDeque<>();

    private LoadBoard(final MonotonicClock clock, final DoubleSupplier scale) {
        this.clock = clock;
        this.scale = scale;
    }

    /**
     * Returns a board without reports.
     *
     * @param clock the clock
     * @param scale returns the ratio of all other VMs to those that report to this one; 1 if all
     *     report
     * @return the board
     */
    public static LoadBoard of(final MonotonicClock clock, final DoubleSupplier scale) {
        return new LoadBoard(
                Objects.requireNonNull(clock, "clock is null"),
                Objects.requireNonNull(scale, "scale is null"));
    }

    /**
     * Returns a board for a VM without peers.
     *
     * @return the board
     */
    public static LoadBoard empty() {
        return of(() -> 0, () -> 1);
    }

    /**
     * Replaces the report of a VM.
     *
     * @param vm the VM
     * @param loads its load at each backend server where it has any
     */
    public void onReport(final VmId vm, final Map<BackendServerId, Load> loads) {
        onReport(vm, 0, loads);
    }

    /**
     * Replaces a part of the report of a VM.
     *
     * @param vm the VM
     * @param part the number of the part
     * @param loads its load at the backend servers of this part
     */
    public void onReport(final VmId vm, final int part, final Map<BackendServerId, Load> loads) {
        onReport(vm, part, loads, 0);
    }

    /**
     * Replaces a part of the report of a VM that has collected the loads of others before.
     *
     * @param vm the VM
     * @param part the number of the part
     * @param loads the loads at the backend servers of this part
     * @param ageMillis how old the loads are on average; milliseconds
     */
    public void onReport(
            final VmId vm,
            final int part,
            final Map<BackendServerId, Load> loads,
            final long ageMillis) {
        final Source source = new Source(vm, part);
        remove(source);
        final long now = clock.millis();
        reports.put(
                source, new Report(now, now - ageMillis, Map.copyOf(loads), positiveExcess(loads)));
        oldestFirst.addLast(source);
        loads.forEach((server, load) -> sums.merge(server, load.withoutHistory(), Load::plus));
    }

    /**
     * Returns the load of the other VMs at a backend server.
     *
     * @param server the backend server
     * @return their load without outcomes and pace, scaled up for VMs that do not report to this
     *     one
     */
    public Load others(final BackendServerId server) {
        removeExpired();
        final Load sum = sums.get(server);
        return sum == null ? Load.NONE : sum.times(scale.getAsDouble());
    }

    /**
     * Returns how old the reported loads are on average.
     *
     * @return milliseconds, 0 if there are no reports
     */
    public double ageMillis() {
        removeExpired();
        long madeMillis = 0;
        for (final Report report : reports.values()) {
            madeMillis += report.madeMillis();
        }
        return reports.isEmpty() ? 0 : clock.millis() - (double) madeMillis / reports.size();
    }

    /**
     * Returns the sums of the reported loads without scaling.
     *
     * @return the sum for each backend server that has any load or outcomes
     */
    public Map<BackendServerId, Load> sums() {
        removeExpired();
        final Map<BackendServerId, Load> all = new HashMap<>();
        for (final Report report : reports.values()) {
            report.loads().forEach((server, load) -> all.merge(server, load, Load::plus));
        }
        return all;
    }

    /**
     * Returns a bound on the excess failures of each backend server in {@link #sums}.
     *
     * @return the sum of the excess failures of all reports, without those below 0
     */
    double maxExcess() {
        removeExpired();
        double excess = 0;
        for (final Report report : reports.values()) {
            excess += report.excess();
        }
        return excess;
    }

    private static double positiveExcess(final Map<BackendServerId, Load> loads) {
        double excess = 0;
        for (final Load load : loads.values()) {
            excess += Math.max(0, load.outcomes().excess());
        }
        return excess;
    }

    private void removeExpired() {
        while (!oldestFirst.isEmpty()) {
            final Source oldest = oldestFirst.peekFirst();
            if (clock.millis() - reports.get(oldest).atMillis() <= REPORT_TTL_MILLIS) {
                return;
            }
            remove(oldest);
        }
    }

    private void remove(final Source source) {
        final Report old = reports.remove(source);
        if (old == null) {
            return;
        }
        oldestFirst.remove(source);
        old.loads()
                .forEach(
                        (server, load) ->
                                sums.computeIfPresent(
                                        server,
                                        (s, sum) -> emptyToNull(sum.minus(load.withoutHistory()))));
    }

    private static Load emptyToNull(final Load load) {
        return load.equals(Load.NONE) ? null : load;
    }

    @Override
    public String toString() {
        return "LoadBoard[reports=" + reports.size() + ", servers=" + sums.size() + "]";
    }
}
