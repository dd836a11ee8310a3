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
 * What the other VMs have at the workers, as they last said.
 *
 * <p>A VM that knows only its own requests places a caption behind three long prompts of others; at
 * six VMs it sees a sixth of the load. Each VM therefore tells the others several times a second
 * what it has where.
 *
 * <p>Law: the sum for a worker is that of the reports that are younger than {@link
 * #BELIEVED_MILLIS}, the last one of each VM. Not thread-safe.
 */
public final class LoadBoard {

    /**
     * How long a report counts; milliseconds. VMs report at least each half second, and datagrams
     * get lost; a VM that died has nothing at any worker a second later.
     */
    private static final long BELIEVED_MILLIS = 1_200;

    private record Report(long atMillis, Map<BackendServerId, Load> loads) {}

    /** Who reports: a VM, with the number of the part where its report has several. */
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
     * Returns a board on which nothing stands.
     *
     * @param clock the clock
     * @param scale gives the VMs there are for each that reports to this one; 1 if all do
     * @return the board
     */
    public static LoadBoard of(final MonotonicClock clock, final DoubleSupplier scale) {
        return new LoadBoard(
                Objects.requireNonNull(clock, "clock is null"),
                Objects.requireNonNull(scale, "scale is null"));
    }

    /**
     * Returns a board for a VM that hears of no other.
     *
     * @return the board
     */
    public static LoadBoard empty() {
        return of(() -> 0, () -> 1);
    }

    /**
     * Takes the report of a VM in place of its last one.
     *
     * @param vm the VM
     * @param loads what it has at each worker that has any
     */
    public void onReport(final VmId vm, final Map<BackendServerId, Load> loads) {
        onReport(vm, 0, loads);
    }

    /**
     * Takes a part of the report of a VM in place of the same part of its last one.
     *
     * @param vm the VM
     * @param part the number of the part
     * @param loads what it tells of the workers in this part
     */
    public void onReport(final VmId vm, final int part, final Map<BackendServerId, Load> loads) {
        final Source source = new Source(vm, part);
        forget(source);
        reports.put(source, new Report(clock.millis(), Map.copyOf(loads)));
        oldestFirst.addLast(source);
        loads.forEach((server, load) -> sums.merge(server, load, Load::plus));
    }

    /**
     * Returns what the other VMs have at a worker.
     *
     * @param server the worker
     * @return their load, scaled up for those that do not report here
     */
    public Load others(final BackendServerId server) {
        forgetOld();
        final Load sum = sums.get(server);
        return sum == null ? Load.NONE : sum.times(scale.getAsDouble());
    }

    /**
     * Returns what stands on the board, as it was told.
     *
     * @return the sum for each worker that has any load
     */
    public Map<BackendServerId, Load> sums() {
        forgetOld();
        return Map.copyOf(sums);
    }

    private void forgetOld() {
        while (!oldestFirst.isEmpty()) {
            final Source oldest = oldestFirst.peekFirst();
            if (clock.millis() - reports.get(oldest).atMillis() <= BELIEVED_MILLIS) {
                return;
            }
            forget(oldest);
        }
    }

    private void forget(final Source source) {
        final Report old = reports.remove(source);
        if (old == null) {
            return;
        }
        oldestFirst.remove(source);
        old.loads()
                .forEach(
                        (server, load) ->
                                sums.computeIfPresent(
                                        server, (s, sum) -> emptyToNull(sum.minus(load))));
    }

    private static Load emptyToNull(final Load load) {
        return load.equals(Load.NONE) ? null : load;
    }

    @Override
    public String toString() {
        return "LoadBoard[reports=" + reports.size() + ", servers=" + sums.size() + "]";
    }
}
