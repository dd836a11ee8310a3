package org.fennelstage.speed;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.Pace;
import org.fennelstage.id.BackendServerId;

/**
 * Chooses the backend servers whose pace goes into the next sums of a collector.
 *
 * <p>The paces of all servers would take 5 Mbit/s of the collector's link at 145 servers and 100
 * VMs. Those that have changed come first, then those that were sent longest ago; receivers keep
 * the last pace of each server.
 *
 * <p>Invariant: at most {@link #MAX_PACES} paces at a time; none is left out for ever. Not
 * thread-safe.
 */
public final class PaceRotation {

    /** Paces in the sums of one period at most: 1.8 Mbit/s at 100 VMs and two periods a second. */
    static final int MAX_PACES = 48;

    /**
     * Periods of which a changed pace comes before others: as many as the others need in turn at
     * 145 servers, so that servers whose pace varies much do not hide the others.
     */
    private static final int CHANGED_PERIODS = 3;

    private record Sent(long period, long startMillis, double mean) {}

    private final Map<BackendServerId, Sent> sent = new HashMap<>();
    private long period;

    /**
     * Leaves out the paces that do not go into these sums.
     *
     * @param sums the sums of the next period
     * @return the same sums, with at most {@link #MAX_PACES} paces
     */
    public Map<BackendServerId, Load> next(final Map<BackendServerId, Load> sums) {
        period++;
        final Map<BackendServerId, Pace> paces = new HashMap<>();
        sums.forEach(
                (server, load) -> {
                    if (load.pace().sampleUnits() > 0) {
                        paces.put(server, load.pace());
                    }
                });
        sent.keySet().retainAll(sums.keySet());
        final Set<BackendServerId> chosen = chosen(paces);
        final Map<BackendServerId, Load> limited = new HashMap<>();
        sums.forEach(
                (server, load) ->
                        limited.put(
                                server, chosen.contains(server) ? load : load.withPace(Pace.NONE)));
        chosen.forEach(
                server ->
                        sent.put(
                                server,
                                new Sent(
                                        period,
                                        paces.get(server).startMillis(),
                                        mean(paces.get(server)))));
        return limited;
    }

    private Set<BackendServerId> chosen(final Map<BackendServerId, Pace> paces) {
        if (paces.size() <= MAX_PACES) {
            return paces.keySet();
        }
        final Map<BackendServerId, Long> urgency = new HashMap<>();
        paces.forEach((server, pace) -> urgency.put(server, urgency(server, pace)));
        final Set<BackendServerId> chosen = new HashSet<>();
        urgency.entrySet().stream()
                .sorted(
                        Map.Entry.<BackendServerId, Long>comparingByValue()
                                .reversed()
                                .thenComparing(Map.Entry.comparingByKey(Comparator.naturalOrder())))
                .limit(MAX_PACES)
                .forEach(entry -> chosen.add(entry.getKey()));
        return chosen;
    }

    private long urgency(final BackendServerId server, final Pace pace) {
        final Sent last = sent.get(server);
        if (last == null || last.startMillis() != pace.startMillis()) {
            return Long.MAX_VALUE;
        }
        final boolean changed = Math.abs(mean(pace) - last.mean()) > ServiceSpeed.EQUAL_LOG;
        return period - last.period() + (changed ? CHANGED_PERIODS : 0);
    }

    private static double mean(final Pace pace) {
        return pace.logSum() / pace.samples();
    }

    @Override
    public String toString() {
        return "PaceRotation[servers=" + sent.size() + "]";
    }
}
