package org.fennelstage.bench.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.VmId;
import org.fennelstage.placement.Placement;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.sizing.ConfidenceGains;
import org.fennelstage.time.MonotonicClock;

/** Holds the estimates and decision classes of one VM. Confined to one simulation. */
final class SimulatedVm {

    /** Limits of load reports as in {@code org.fennelstage.vm.LoadReports}. */
    private static final double MAX_RECEIVED_PER_SECOND = 40;

    private static final double MIN_PERIOD_MILLIS = 100;
    private static final double MAX_PERIOD_MILLIS = 500;

    private final Simulation simulation;
    private final VmId id;
    private final MonotonicClock clock;
    private final LoadBoard board;
    private final Placement placement;
    private final List<TrackedServer> servers;
    private final Map<ModelId, LatencyEstimator> latencyEstimators = new HashMap<>();
    private final Map<RequestKind, ConfidenceGains> confidenceGains = new HashMap<>();

    SimulatedVm(
            final Simulation simulation,
            final VmId id,
            final DataCentreId dataCentre,
            final long seed) {
        this.simulation = simulation;
        this.id = id;
        this.clock = () -> (long) simulation.eventQueue().nowMillis();
        this.board = LoadBoard.of(clock, () -> 1);
        this.placement = Placement.of(dataCentre, new SplittableRandom(seed), board);
        this.servers =
                simulation.entries().stream()
                        .map(e -> TrackedServer.of(e, clock, Reachability.of(clock)))
                        .toList();
    }

    /** Starts periodic load reports to the other VMs if the policy enables them. */
    void start() {
        if (simulation.setup().policy().uses(Mechanism.LOAD_REPORTS)) {
            final double period = 1_000 * simulation.setup().vms() / MAX_RECEIVED_PER_SECOND;
            reportEvery(Math.min(MAX_PERIOD_MILLIS, Math.max(MIN_PERIOD_MILLIS, period)));
        }
    }

    VmId id() {
        return id;
    }

    Placement placement() {
        return placement;
    }

    List<TrackedServer> servers() {
        return servers;
    }

    LatencyEstimator latencyEstimator(final ModelId model) {
        return latencyEstimators.computeIfAbsent(model, m -> new LatencyEstimator());
    }

    ConfidenceGains confidenceGains(final RequestKind kind) {
        return confidenceGains.computeIfAbsent(kind, k -> ConfidenceGains.empty());
    }

    /** Returns the load of this VM on each backend server with running requests. */
    Map<BackendServerId, Load> loads() {
        final Map<BackendServerId, Load> loads = new HashMap<>();
        servers.stream()
                .filter(s -> s.running() > 0)
                .forEach(s -> loads.put(s.entry().id(), s.load()));
        return loads;
    }

    void onLoadReport(final VmId sender, final Map<BackendServerId, Load> loads) {
        board.onReport(sender, loads);
    }

    private void reportEvery(final double periodMillis) {
        simulation
                .eventQueue()
                .schedule(
                        periodMillis,
                        () -> {
                            simulation.broadcastLoads(this);
                            reportEvery(periodMillis);
                        });
    }
}
