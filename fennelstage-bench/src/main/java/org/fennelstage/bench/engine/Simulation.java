package org.fennelstage.bench.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.policy.Policy;
import org.fennelstage.serving.Route;
import org.fennelstage.serving.RouteKind;
import org.fennelstage.serving.WeightedService;

/**
 * Simulates VMs in front of model engines in virtual time. The VMs use the decision classes of the
 * product; arrivals, lengths and difficulties of requests are drawn from a seed.
 *
 * <p>Invariant: the same setup gives the same result. Not thread-safe.
 */
public final class Simulation {

    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final int DATA_CENTRES = 3;

    /** Network latency of a load report; milliseconds. */
    private static final double REPORT_DELAY_MILLIS = 0.5;

    /** Upper bound of a prompt or output length as a multiple of the mean. */
    private static final double MAX_LENGTH_FACTOR = 6;

    /**
     * The parameters of a simulation. Immutable.
     *
     * @param vms the number of VMs
     * @param engines the number of model engines
     * @param engineSpec the capacity and usual speed of each engine
     * @param speeds the speeds of the engines against the usual one, in turn
     * @param models the models, smallest first
     * @param kinds the request kinds
     * @param maxDifficulty the upper bound of the uniformly distributed difficulty of a request
     * @param seconds how long requests arrive; seconds
     * @param policy the enabled mechanisms
     * @param seed the seed of all random draws
     */
    public record Setup(
            int vms,
            int engines,
            EngineSpec engineSpec,
            List<Double> speeds,
            List<ModelSpec> models,
            List<RequestKind> kinds,
            double maxDifficulty,
            int seconds,
            Policy policy,
            long seed) {

        /**
         * Returns a setup with {@link Workloads#longAndShortPrompts} on {@link EngineSpec#LARGE}
         * engines, with requests of every difficulty.
         *
         * @param vms the number of VMs
         * @param engines the number of model engines
         * @param scale factor on all arrival rates; 1 is the design load of 13 engines
         * @param seconds how long requests arrive; seconds
         * @param policy the enabled mechanisms
         * @param seed the seed of all random draws
         * @return the setup
         */
        public static Setup longAndShortPrompts(
                final int vms,
                final int engines,
                final double scale,
                final int seconds,
                final Policy policy,
                final long seed) {
            return new Setup(
                    vms,
                    engines,
                    EngineSpec.LARGE,
                    List.of(1.0),
                    Workloads.MODELS,
                    Workloads.longAndShortPrompts(scale),
                    1,
                    seconds,
                    policy,
                    seed);
        }
    }

    private final Setup setup;
    private final SplittableRandom random;
    private final EventQueue eventQueue = new EventQueue();
    private final Map<BackendServerId, SimulatedEngine> engines = new HashMap<>();
    private final List<ServerEntry> entries = new ArrayList<>();
    private final List<SimulatedVm> vms = new ArrayList<>();
    private final Map<RequestKind, RequestStats> stats = new HashMap<>();

    private Simulation(final Setup setup) {
        this.setup = setup;
        this.random = new SplittableRandom(setup.seed());
        for (int i = 0; i < setup.engines(); i++) {
            final ServerEntry entry = serverEntry(i);
            entries.add(entry);
            final double speed = setup.speeds().get(i % setup.speeds().size());
            engines.put(
                    entry.id(), new SimulatedEngine(setup.engineSpec().atSpeed(speed), eventQueue));
        }
        for (int i = 0; i < setup.vms(); i++) {
            vms.add(new SimulatedVm(this, VmId.of("vm-" + i), dataCentre(i), random.nextLong()));
        }
        setup.kinds().forEach(kind -> stats.put(kind, new RequestStats(kind)));
    }

    /**
     * Runs a simulation until the deadline of the last request.
     *
     * @param setup the parameters
     * @return the statistics of all requests
     */
    public static SimulationResult run(final Setup setup) {
        final Simulation simulation = new Simulation(setup);
        simulation.setup.kinds().forEach(simulation::scheduleArrival);
        simulation.vms.forEach(SimulatedVm::start);
        final double end = setup.seconds() * 1_000.0;
        final double maxDeadline =
                setup.kinds().stream().mapToLong(RequestKind::deadlineMillis).max().orElse(0);
        simulation.eventQueue.runUntil(end + maxDeadline + 1);
        return new SimulationResult(
                setup.kinds().stream().map(simulation.stats::get).toList(),
                simulation.engines.values().stream()
                        .mapToLong(SimulatedEngine::promptTokensRead)
                        .sum());
    }

    Setup setup() {
        return setup;
    }

    EventQueue eventQueue() {
        return eventQueue;
    }

    List<ServerEntry> entries() {
        return entries;
    }

    SimulatedEngine engine(final BackendServerId server) {
        return engines.get(server);
    }

    RequestStats stats(final RequestKind kind) {
        return stats.get(kind);
    }

    /** Delivers a VM's current loads to all others after the network latency. */
    void broadcastLoads(final SimulatedVm sender) {
        final var loads = sender.loads();
        eventQueue.schedule(
                REPORT_DELAY_MILLIS,
                () ->
                        vms.stream()
                                .filter(vm -> vm != sender)
                                .forEach(vm -> vm.onLoadReport(sender.id(), loads)));
    }

    Route route(final RequestKind kind) {
        return new Route(
                kind.name(),
                "a.example",
                "/",
                RouteKind.STREAM,
                true,
                false,
                List.of(new WeightedService(SERVICE, 1)),
                3,
                Duration.ofMillis(kind.deadlineMillis()),
                Duration.ofMillis(kind.objectiveMillis()),
                Duration.ofSeconds(1),
                0,
                setup.models().stream().map(ModelSpec::id).toList());
    }

    /** Schedules the next arrival of a kind; arrivals are a Poisson process. */
    private void scheduleArrival(final RequestKind kind) {
        final double delay = -Math.log(1 - random.nextDouble()) * 1_000 / kind.requestsPerSecond();
        eventQueue.schedule(
                delay,
                () -> {
                    if (eventQueue.nowMillis() < setup.seconds() * 1_000.0) {
                        startRequest(kind);
                        scheduleArrival(kind);
                    }
                });
    }

    private void startRequest(final RequestKind kind) {
        stats.get(kind).onArrival();
        final SimulatedVm vm = vms.get(random.nextInt(vms.size()));
        new SimulatedRequest(
                        this,
                        vm,
                        kind,
                        kind.name() + random.nextInt(kind.sharedParts()),
                        kind.sharedTokens() + drawLength(kind.meanOwnTokens()),
                        drawLength(kind.meanOutputTokens()),
                        random.nextDouble() * setup.maxDifficulty(),
                        random.split())
                .start();
    }

    /** Draws a length from a log-normal distribution with the given mean. */
    private int drawLength(final int meanTokens) {
        final double factor = Math.exp(0.8 * random.nextGaussian() - 0.32);
        return Math.max(1, (int) (meanTokens * Math.min(MAX_LENGTH_FACTOR, factor)));
    }

    private static DataCentreId dataCentre(final int index) {
        return DataCentreId.of("dc-" + index % DATA_CENTRES);
    }

    private ServerEntry serverEntry(final int index) {
        return new ServerEntry(
                Incarnation.of(BackendServerId.of("s-" + index)),
                SERVICE,
                new ServerAddress("127.0.0.1", 9_000 + index),
                dataCentre(index),
                "v1",
                setup.engineSpec().maxBatchSize(),
                false,
                Position.of(0, 1));
    }
}
