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

/** One VM's beliefs and decisions in a play. Confined to it. */
final class PlayedVm {

    /** Reports of load a VM hears in a second at most, as in the real one. */
    private static final double HEARD_PER_SECOND = 40;

    private static final double SHORTEST_REPORT_MILLIS = 100;
    private static final double LONGEST_REPORT_MILLIS = 500;

    private final Play play;
    private final VmId id;
    private final MonotonicClock clock;
    private final LoadBoard board;
    private final Placement placement;
    private final List<TrackedServer> servers;
    private final Map<ModelId, LatencyEstimator> paces = new HashMap<>();
    private final Map<Kind, ConfidenceGains> opinions = new HashMap<>();

    PlayedVm(final Play play, final VmId id, final DataCentreId dataCentre, final long seed) {
        this.play = play;
        this.id = id;
        this.clock = () -> (long) play.clockwork().now();
        this.board = LoadBoard.of(clock, () -> 1);
        this.placement = Placement.of(dataCentre, new SplittableRandom(seed), board);
        this.servers =
                play.entries().stream()
                        .map(e -> TrackedServer.of(e, clock, Reachability.of(clock)))
                        .toList();
    }

    /** Begins to tell the others what this VM has at the workers, if it does. */
    void start() {
        if (play.setup().policy().uses(Mechanism.LOAD_REPORTS)) {
            final double period = 1_000 * play.setup().vms() / HEARD_PER_SECOND;
            reportEvery(Math.min(LONGEST_REPORT_MILLIS, Math.max(SHORTEST_REPORT_MILLIS, period)));
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

    LatencyEstimator pace(final ModelId model) {
        return paces.computeIfAbsent(model, m -> new LatencyEstimator());
    }

    ConfidenceGains opinions(final Kind kind) {
        return opinions.computeIfAbsent(kind, k -> ConfidenceGains.empty());
    }

    Map<BackendServerId, Load> loads() {
        final Map<BackendServerId, Load> loads = new HashMap<>();
        servers.stream()
                .filter(s -> s.running() > 0)
                .forEach(s -> loads.put(s.entry().id(), s.load()));
        return loads;
    }

    void hear(final VmId other, final Map<BackendServerId, Load> loads) {
        board.onReport(other, loads);
    }

    private void reportEvery(final double periodMillis) {
        play.clockwork()
                .after(
                        periodMillis,
                        () -> {
                            play.report(this);
                            reportEvery(periodMillis);
                        });
    }
}
