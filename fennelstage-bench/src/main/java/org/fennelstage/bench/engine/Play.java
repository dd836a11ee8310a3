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
 * VMs with the real decisions before engines in virtual time, under a load drawn from a seed.
 *
 * <p>Law: the same arguments give the same result. Not thread-safe.
 */
public final class Play {

    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final int DATA_CENTRES = 3;

    /** How long reports of load travel; milliseconds. */
    private static final double NEWS_MILLIS = 0.5;

    /** Prompts and answers vary by a factor, at most this one. */
    private static final double LONGEST = 6;

    /**
     * What is played.
     *
     * @param vms how many VMs take requests
     * @param workers how many engines there are
     * @param engine how fast each is
     * @param models the models, smallest first
     * @param kinds the kinds of requests
     * @param hardest the hardness of the hardest request; requests are spread evenly up to it
     * @param seconds how long requests arrive
     * @param policy the mechanisms in use
     * @param seed the seed
     */
    public record Setup(
            int vms,
            int workers,
            EngineSpec engine,
            List<ModelSpec> models,
            List<Kind> kinds,
            double hardest,
            int seconds,
            Policy policy,
            long seed) {

        /**
         * Returns the load of long prompts beside short ones, on large engines, with requests of
         * every hardness.
         *
         * @param vms how many VMs take requests
         * @param workers how many engines there are
         * @param scale the requests a second, as a multiple of what 13 engines are made for
         * @param seconds how long requests arrive
         * @param policy the mechanisms in use
         * @param seed the seed
         * @return what is played
         */
        public static Setup longBesideShort(
                final int vms,
                final int workers,
                final double scale,
                final int seconds,
                final Policy policy,
                final long seed) {
            return new Setup(
                    vms,
                    workers,
                    EngineSpec.LARGE,
                    Loads.MODELS,
                    Loads.longBesideShort(scale),
                    1,
                    seconds,
                    policy,
                    seed);
        }
    }

    private final Setup setup;
    private final SplittableRandom random;
    private final Clockwork clockwork = new Clockwork();
    private final Map<BackendServerId, Engine> engines = new HashMap<>();
    private final List<ServerEntry> entries = new ArrayList<>();
    private final List<PlayedVm> vms = new ArrayList<>();
    private final Map<Kind, Tally> tallies = new HashMap<>();

    private Play(final Setup setup) {
        this.setup = setup;
        this.random = new SplittableRandom(setup.seed());
        for (int i = 0; i < setup.workers(); i++) {
            final ServerEntry entry = entry(i);
            entries.add(entry);
            engines.put(entry.id(), new Engine(setup.engine(), clockwork));
        }
        for (int i = 0; i < setup.vms(); i++) {
            vms.add(new PlayedVm(this, VmId.of("vm-" + i), dataCentre(i), random.nextLong()));
        }
        setup.kinds().forEach(kind -> tallies.put(kind, new Tally(kind)));
    }

    /**
     * Plays a setup to its end.
     *
     * @param setup what is played
     * @return what callers got
     */
    public static Result of(final Setup setup) {
        final Play play = new Play(setup);
        play.setup.kinds().forEach(play::arrive);
        play.vms.forEach(PlayedVm::start);
        final double end = setup.seconds() * 1_000.0;
        final double longest =
                setup.kinds().stream().mapToLong(Kind::deadlineMillis).max().orElse(0);
        play.clockwork.runUntil(end + longest + 1);
        return new Result(
                setup.kinds().stream().map(play.tallies::get).toList(),
                play.engines.values().stream().mapToLong(Engine::tokensRead).sum());
    }

    Setup setup() {
        return setup;
    }

    Clockwork clockwork() {
        return clockwork;
    }

    List<ServerEntry> entries() {
        return entries;
    }

    Engine engine(final BackendServerId server) {
        return engines.get(server);
    }

    Tally tally(final Kind kind) {
        return tallies.get(kind);
    }

    /** Brings a VM's report to all others. */
    void report(final PlayedVm from) {
        final var loads = from.loads();
        clockwork.after(
                NEWS_MILLIS,
                () ->
                        vms.stream()
                                .filter(vm -> vm != from)
                                .forEach(vm -> vm.hear(from.id(), loads)));
    }

    Route route(final Kind kind) {
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

    private void arrive(final Kind kind) {
        final double wait = -Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond();
        clockwork.after(
                wait,
                () -> {
                    if (clockwork.now() < setup.seconds() * 1_000.0) {
                        begin(kind);
                        arrive(kind);
                    }
                });
    }

    private void begin(final Kind kind) {
        tallies.get(kind).onArrival();
        final PlayedVm vm = vms.get(random.nextInt(vms.size()));
        new PlayedRequest(
                        this,
                        vm,
                        kind,
                        kind.name() + random.nextInt(kind.subjects()),
                        kind.sharedTokens() + varied(kind.ownTokens()),
                        varied(kind.outputTokens()),
                        random.nextDouble() * setup.hardest(),
                        random.split())
                .start();
    }

    /** Draws around a mean with the long tail of a logarithmic normal distribution. */
    private int varied(final int mean) {
        final double spread = Math.exp(0.8 * random.nextGaussian() - 0.32);
        return Math.max(1, (int) (mean * Math.min(LONGEST, spread)));
    }

    private static DataCentreId dataCentre(final int number) {
        return DataCentreId.of("dc-" + number % DATA_CENTRES);
    }

    private ServerEntry entry(final int number) {
        return new ServerEntry(
                Incarnation.of(BackendServerId.of("s-" + number)),
                SERVICE,
                new ServerAddress("127.0.0.1", 9_000 + number),
                dataCentre(number),
                "v1",
                setup.engine().batch(),
                false,
                Position.of(0, 1));
    }
}
