package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.gateway.Beliefs;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.serving.CallerLimits;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.store.EraTracker;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.WatchPace;

/**
 * Random histories of a store that comes back from copies, against one VM that follows it.
 *
 * <p>Workers come, leave and go, configurations and roll-outs are written, versions are found bad;
 * the store goes back, once or twice in a row, and operator and workers write again in any order
 * within two seconds. At no moment does the VM hold what no history allows, and in the end it
 * agrees with the store.
 */
class StoreReturnTest {

    private static final int STEPS = 80;
    private static final long STEP_MILLIS = 200;
    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final Duration DURATION = Duration.ofSeconds(5);

    /** Longer than every wait after a return, and than a roll-out. */
    private static final int SETTLING_STEPS = 80;

    /** The VM, the store, and what truly happened. */
    private static final class World {
        private final Random random;
        private final AtomicLong now = new AtomicLong(1_000_000);
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final Beliefs beliefs = new Beliefs(now::get, TestBounds.BOUNDS);
        private final ModelStore store = new ModelStore();
        private final ServerFeed servers = new ServerFeed(beliefs, () -> {});
        private final RolloutFeed rollouts =
                new RolloutFeed(
                        beliefs, store, InstantSource.fixed(Instant.EPOCH), t -> 0, () -> {});

        /** What workers, by id, and the operator say last; written again after a return. */
        private final Map<String, ServerEntry> workers = new HashMap<>();

        private long configuration = 1;
        private Optional<String> ordered = Optional.empty();

        private final Deque<Runnable> toWriteAgain = new ArrayDeque<>();
        private final Set<String> inUse = new HashSet<>(Set.of("v1"));
        private String versionInUse = "v1";
        private final Set<String> halted = new HashSet<>();
        private final Set<String> heardLeaving = new HashSet<>();
        private long heardConfiguration;
        private int names;

        private World(final long seed) {
            random = new Random(seed);
            channel.freezeTime();
            writeConfiguration();
            enter("v1");
            enter("v1");
            follow();
        }

        private void follow() {
            final EventLoop loop = channel.eventLoop();
            final EraTracker eras = EraTracker.empty();
            final Supplier<WatchPace> pace = () -> WatchPace.ofMillis(10_000, 100);
            final Follower<ServingConfiguration> configurations =
                    new Follower<>(
                            loop,
                            store,
                            StoreKind.CONFIGURATION,
                            pace,
                            random,
                            eras,
                            new ConfigurationFeed(beliefs));
            final Follower<RolloutOrder> orders =
                    new Follower<>(loop, store, StoreKind.ROLLOUTS, pace, random, eras, rollouts);
            final Follower<ServerEntry> entries =
                    new Follower<>(loop, store, StoreKind.SERVERS, pace, random, eras, servers);
            beliefs.onOrdersWanted(orders::refresh);
            configurations.start();
            orders.start();
            entries.start();
        }

        private void writeConfiguration() {
            store.put(
                    StoreKind.CONFIGURATION,
                    "main",
                    Optional.of(ModelStore.configuration(configuration(configuration))));
        }

        private static ServingConfiguration configuration(final long version) {
            return ServingConfiguration.of(
                    version, List.of(), List.of(), CallerLimits.UNTIL_CONFIGURED, Map.of(), false);
        }

        private void enter(final String version) {
            final String id = "i-" + ++names;
            workers.put(id, entry(id, version, false));
            writeWorker(id);
        }

        private static ServerEntry entry(
                final String id, final String version, final boolean leaving) {
            return new ServerEntry(
                    Incarnation.of(BackendServerId.of(id)),
                    SERVICE,
                    new ServerAddress("10.0.0.1", 80),
                    DataCentreId.of("dc-a"),
                    version,
                    4,
                    leaving,
                    Position.of(0, 0));
        }

        private void writeWorker(final String id) {
            final ServerEntry entry = workers.get(id);
            if (entry == null) {
                if (store.has(StoreKind.SERVERS, id)) {
                    store.put(StoreKind.SERVERS, id, Optional.empty());
                }
            } else {
                store.put(StoreKind.SERVERS, id, Optional.of(ModelStore.server(entry)));
            }
        }

        private void writeOrder() {
            final RolloutOrder order =
                    new RolloutOrder(
                            SERVICE,
                            ordered.orElseThrow(),
                            DURATION,
                            RolloutPhase.ORDERED,
                            Optional.empty(),
                            Position.of(0, 0));
            store.put(
                    StoreKind.ROLLOUTS,
                    "models",
                    Optional.of(ModelStore.order(order, RolloutPhase.ORDERED, Optional.empty())));
        }

        private void act() {
            switch (random.nextInt(10)) {
                case 0, 1 -> enter(versionInUse);
                case 2 -> leave();
                case 3 -> go();
                case 4 -> {
                    configuration++;
                    writeConfiguration();
                }
                case 5 -> giveOrder();
                case 6 -> store.copy();
                case 7 -> comeBack();
                case 8 -> halt();
                default -> {}
            }
        }

        private Optional<String> drawWorker() {
            final List<String> ids = new ArrayList<>(new TreeSet<>(workers.keySet()));
            return ids.size() < 3
                    ? Optional.empty()
                    : Optional.of(ids.get(random.nextInt(ids.size())));
        }

        private void leave() {
            drawWorker()
                    .ifPresent(
                            id -> {
                                workers.put(id, entry(id, workers.get(id).version(), true));
                                writeWorker(id);
                            });
        }

        private void go() {
            drawWorker()
                    .filter(id -> workers.get(id).draining())
                    .ifPresent(
                            id -> {
                                workers.remove(id);
                                writeWorker(id);
                            });
        }

        private void giveOrder() {
            final boolean runs =
                    ordered.isPresent()
                            && !inUse.contains(ordered.get())
                            && !halted.contains(ordered.get());
            if (runs || !toWriteAgain.isEmpty()) {
                return;
            }
            ordered = Optional.of("v" + ++names);
            writeOrder();
            enter(ordered.get());
            enter(ordered.get());
        }

        private void halt() {
            final Canary canary = beliefs.canary(SERVICE);
            if (ordered.isPresent()
                    && !inUse.contains(ordered.get())
                    && canary.admits(ordered.get(), true)) {
                for (int i = 0; i < 10; i++) {
                    canary.onResponse(BackendServerId.of("i-" + i), ordered.get(), true, 0);
                }
                halted.add(ordered.get());
            }
        }

        /** The store goes back; what was written since is written again, in any order. */
        private void comeBack() {
            store.comeBack(random);
            final List<Runnable> again = new ArrayList<>();
            again.add(this::writeConfiguration);
            ordered.ifPresent(o -> again.add(this::writeOrderAgain));
            final Set<String> ids = new TreeSet<>(workers.keySet());
            ids.addAll(store.names(StoreKind.SERVERS));
            ids.forEach(id -> again.add(() -> writeWorker(id)));
            Collections.shuffle(again, random);
            toWriteAgain.clear();
            toWriteAgain.addAll(again);
        }

        private void writeOrderAgain() {
            final boolean there = store.order("models").map(RolloutOrder::target).equals(ordered);
            if (!there) {
                writeOrder();
            }
        }

        private void step() {
            act();
            passTime();
        }

        private void passTime() {
            final int rewrites = 1 + toWriteAgain.size() / 4;
            for (int i = 0; i < rewrites && !toWriteAgain.isEmpty(); i++) {
                toWriteAgain.poll().run();
            }
            while (store.deliver(random)) {
                check();
            }
            now.addAndGet(STEP_MILLIS);
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            servers.dropLapsed();
            beliefs.settle();
            rollouts.writeDue();
            while (store.deliver(random)) {
                check();
            }
            noteEnd();
            check();
        }

        /** Whoever completes a roll-out stops the old version's workers; a halt ends the new. */
        private void noteEnd() {
            store.order("models")
                    .filter(o -> o.phase().ended() && ordered.equals(Optional.of(o.target())))
                    .ifPresent(
                            o -> {
                                final boolean completed = o.phase() == RolloutPhase.COMPLETED;
                                if (completed) {
                                    versionInUse = o.target();
                                }
                                stopWorkers(o.target(), completed);
                            });
        }

        private void stopWorkers(final String target, final boolean completed) {
            for (final String id : List.copyOf(workers.keySet())) {
                final boolean ofTarget = workers.get(id).version().equals(target);
                if (ofTarget != completed) {
                    workers.remove(id);
                    writeWorker(id);
                }
            }
        }

        private void check() {
            store.order("models")
                    .filter(o -> o.phase() == RolloutPhase.COMPLETED)
                    .ifPresent(o -> inUse.add(o.target()));
            final long version = beliefs.configuration().map(c -> c.version()).orElse(0L);
            assertThat(version).isGreaterThanOrEqualTo(heardConfiguration);
            heardConfiguration = version;
            for (final TrackedServer server : beliefs.servers().all()) {
                if (server.entry().draining()) {
                    heardLeaving.add(server.entry().id().value());
                }
            }
            assertThat(usable()).as("left workers").noneMatch(heardLeaving::contains);
            final Canary canary = beliefs.canary(SERVICE);
            for (int i = 1; i <= names; i++) {
                final String candidate = "v" + i;
                if (!inUse.contains(candidate)) {
                    assertThat(canary.admits(candidate, false)).as(candidate).isFalse();
                }
                if (halted.contains(candidate)) {
                    assertThat(canary.admits(candidate, true)).as(candidate).isFalse();
                }
            }
        }

        private Set<String> usable() {
            final Set<String> ids = new TreeSet<>();
            beliefs.servers().usable(SERVICE).forEach(s -> ids.add(s.entry().id().value()));
            return ids;
        }

        private void checkAgreement() {
            assertThat(beliefs.configuration().orElseThrow().version()).isEqualTo(configuration);
            final Set<String> ready = new TreeSet<>();
            workers.forEach(
                    (id, entry) -> {
                        if (!entry.draining()) {
                            ready.add(id);
                        }
                    });
            assertThat(usable()).isEqualTo(ready);
            ordered.ifPresent(
                    target -> {
                        final RolloutOrder order = store.order("models").orElseThrow();
                        assertThat(order.target()).isEqualTo(target);
                        assertThat(order.phase())
                                .isEqualTo(
                                        halted.contains(target)
                                                ? RolloutPhase.ROLLED_BACK
                                                : RolloutPhase.COMPLETED);
                    });
        }
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF, seed = "20261203")
    void aVmNeverHoldsWhatNoHistoryAllowsAndAgreesWithTheStoreInTheEnd(@ForAll final long seed) {
        final World world = new World(seed);
        for (int i = 0; i < STEPS; i++) {
            world.step();
        }
        for (int i = 0; i < SETTLING_STEPS; i++) {
            world.passTime();
        }
        world.checkAgreement();
    }
}
