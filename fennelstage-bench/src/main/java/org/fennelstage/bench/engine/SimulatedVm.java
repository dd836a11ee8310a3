package org.fennelstage.bench.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.Reachability;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.placement.Placement;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.sizing.ConfidenceGains;
import org.fennelstage.speed.EventTimer;
import org.fennelstage.speed.SampleKind;
import org.fennelstage.speed.ServerSpeeds;
import org.fennelstage.time.MonotonicClock;

/** Holds the estimates and decision classes of one VM. Confined to one simulation. */
final class SimulatedVm {

    /** Limits of load reports as in {@code org.fennelstage.vm.LoadReports}. */
    private static final double MAX_RECEIVED_PER_SECOND = 40;

    private static final double MIN_PERIOD_MILLIS = 100;
    private static final double MAX_PERIOD_MILLIS = 500;

    /** Time between two runs of the periodic tasks. */
    private static final double TASK_MILLIS = 100;

    private final Simulation simulation;
    private final VmId id;
    private final MonotonicClock clock;
    private final LoadBoard board;
    private final Placement placement;
    private final ServerSpeeds speeds;
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
        this.speeds = ServerSpeeds.of(board, clock);
        this.servers =
                simulation.entries().stream()
                        .map(e -> TrackedServer.of(e, clock, Reachability.of(clock)))
                        .toList();
    }

    /** Starts the periodic tasks that the policy enables. */
    void start() {
        if (usesSpeeds()) {
            updateSpeeds();
        }
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
        for (final TrackedServer server : servers) {
            final Pace pace = server.pace().rounded();
            if (server.running() > 0 || pace.samples() > 0) {
                loads.put(server.entry().id(), server.load().withPace(pace));
            }
        }
        return loads;
    }

    void onSpeedSample(
            final TrackedServer server, final ModelId model, final EventTimer.Sample sample) {
        if (usesSpeeds()) {
            final ServiceName service = server.entry().service();
            speeds.onSample(
                    server,
                    SampleKind.ofStream(service, Optional.of(model)),
                    sample.millisPerEvent(),
                    sample.weight());
        }
    }

    private boolean usesSpeeds() {
        return simulation.setup().policy().uses(Mechanism.SERVER_SPEEDS);
    }

    private void updateSpeeds() {
        speeds.update(servers);
        simulation.eventQueue().schedule(TASK_MILLIS, this::updateSpeeds);
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
