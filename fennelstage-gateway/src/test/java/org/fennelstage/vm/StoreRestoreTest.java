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
import org.fennelstage.gateway.GatewayState;
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
 * Random histories of a store that is restored from older copies, checked against one VM that
 * follows it.
 *
 * <p>Backend servers, configurations and rollouts change, versions are halted, and the store is
 * restored, after which the operator and the servers write again in any order. The VM must never
 * hold a state that contradicts the history, and must agree with the store in the end.
 */
class StoreRestoreTest {

    private static final int STEPS = 80;
    private static final long STEP_MILLIS = 200;
    private static final ServiceName SERVICE = ServiceName.of("models");
    private static final Duration DURATION = Duration.ofSeconds(5);

    /** Longer than every delay after a restore, and than a rollout. */
    private static final int SETTLING_STEPS = 80;

    /** The VM, the store, and the actual state of the fleet. */
    private static final class Simulation {
        private final Random random;
        private final AtomicLong now = new AtomicLong(1_000_000);
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final GatewayState state = new GatewayState(now::get, TestBounds.BOUNDS);
        private final RestorableStore store = new RestorableStore();
        private final ServerFeed servers = new ServerFeed(state, () -> {});
        private final RolloutFeed rollouts =
                new RolloutFeed(state, store, InstantSource.fixed(Instant.EPOCH), t -> 0, () -> {});

        /** The latest entries by id; they are written again after a restore. */
        private final Map<String, ServerEntry> entriesById = new HashMap<>();

        private long configuration = 1;
        private Optional<String> orderedVersion = Optional.empty();

        private final Deque<Runnable> pendingRewrites = new ArrayDeque<>();

        /** All versions that are or were current. */
        private final Set<String> currentAndFormerVersions = new HashSet<>(Set.of("v1"));

        private String currentVersion = "v1";
        private final Set<String> halted = new HashSet<>();
        private final Set<String> seenDraining = new HashSet<>();
        private long lastConfiguration;
        private int lastNumber;

        private Simulation(final long seed) {
            random = new Random(seed);
            channel.freezeTime();
            writeConfiguration();
            register("v1");
            register("v1");
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
                            new ConfigurationFeed(state));
            final Follower<RolloutOrder> orders =
                    new Follower<>(loop, store, StoreKind.ROLLOUTS, pace, random, eras, rollouts);
            final Follower<ServerEntry> entries =
                    new Follower<>(loop, store, StoreKind.SERVERS, pace, random, eras, servers);
            state.onOrdersNeeded(orders::refresh);
            configurations.start();
            orders.start();
            entries.start();
        }

        private void writeConfiguration() {
            store.put(
                    StoreKind.CONFIGURATION,
                    "main",
                    Optional.of(RestorableStore.configuration(configuration(configuration))));
        }

        private static ServingConfiguration configuration(final long version) {
            return ServingConfiguration.of(
                    version, List.of(), List.of(), CallerLimits.UNTIL_CONFIGURED, Map.of(), false);
        }

        private void register(final String version) {
            final String id = "i-" + ++lastNumber;
            entriesById.put(id, entry(id, version, false));
            writeEntry(id);
        }

        private static ServerEntry entry(
                final String id, final String version, final boolean draining) {
            return new ServerEntry(
                    Incarnation.of(BackendServerId.of(id)),
                    SERVICE,
                    new ServerAddress("10.0.0.1", 80),
                    DataCentreId.of("dc-a"),
                    version,
                    4,
                    draining,
                    Position.of(0, 0));
        }

        private void writeEntry(final String id) {
            final ServerEntry entry = entriesById.get(id);
            if (entry == null) {
                if (store.has(StoreKind.SERVERS, id)) {
                    store.put(StoreKind.SERVERS, id, Optional.empty());
                }
            } else {
                store.put(StoreKind.SERVERS, id, Optional.of(RestorableStore.server(entry)));
            }
        }

        private void writeOrder() {
            final RolloutOrder order =
                    new RolloutOrder(
                            SERVICE,
                            orderedVersion.orElseThrow(),
                            DURATION,
                            RolloutPhase.ORDERED,
                            Optional.empty(),
                            Position.of(0, 0));
            store.put(
                    StoreKind.ROLLOUTS,
                    "models",
                    Optional.of(
                            RestorableStore.order(order, RolloutPhase.ORDERED, Optional.empty())));
        }

        private void act() {
            switch (random.nextInt(10)) {
                case 0, 1 -> register(currentVersion);
                case 2 -> startDraining();
                case 3 -> deregister();
                case 4 -> {
                    configuration++;
                    writeConfiguration();
                }
                case 5 -> giveOrder();
                case 6 -> store.copy();
                case 7 -> restoreStore();
                case 8 -> halt();
                default -> {}
            }
        }

        private Optional<String> drawServer() {
            final List<String> ids = new ArrayList<>(new TreeSet<>(entriesById.keySet()));
            return ids.size() < 3
                    ? Optional.empty()
                    : Optional.of(ids.get(random.nextInt(ids.size())));
        }

        private void startDraining() {
            drawServer()
                    .ifPresent(
                            id -> {
                                entriesById.put(id, entry(id, entriesById.get(id).version(), true));
                                writeEntry(id);
                            });
        }

        private void deregister() {
            drawServer()
                    .filter(id -> entriesById.get(id).draining())
                    .ifPresent(
                            id -> {
                                entriesById.remove(id);
                                writeEntry(id);
                            });
        }

        private void giveOrder() {
            final boolean running =
                    orderedVersion.isPresent()
                            && !currentAndFormerVersions.contains(orderedVersion.get())
                            && !halted.contains(orderedVersion.get());
            if (running || !pendingRewrites.isEmpty()) {
                return;
            }
            orderedVersion = Optional.of("v" + ++lastNumber);
            writeOrder();
            register(orderedVersion.get());
            register(orderedVersion.get());
        }

        private void halt() {
            final Canary canary = state.canary(SERVICE);
            if (orderedVersion.isPresent()
                    && !currentAndFormerVersions.contains(orderedVersion.get())
                    && canary.admits(orderedVersion.get(), true)) {
                for (int i = 0; i < 10; i++) {
                    CanaryResponses.fail(
                            canary, BackendServerId.of("i-" + i), orderedVersion.get());
                }
                halted.add(orderedVersion.get());
            }
        }

        /** Restores the store; later writes are repeated in a random order. */
        private void restoreStore() {
            store.restoreCopy(random);
            final List<Runnable> rewrites = new ArrayList<>();
            rewrites.add(this::writeConfiguration);
            orderedVersion.ifPresent(o -> rewrites.add(this::rewriteOrder));
            final Set<String> ids = new TreeSet<>(entriesById.keySet());
            ids.addAll(store.names(StoreKind.SERVERS));
            ids.forEach(id -> rewrites.add(() -> writeEntry(id)));
            Collections.shuffle(rewrites, random);
            pendingRewrites.clear();
            pendingRewrites.addAll(rewrites);
        }

        private void rewriteOrder() {
            final boolean present =
                    store.order("models").map(RolloutOrder::target).equals(orderedVersion);
            if (!present) {
                writeOrder();
            }
        }

        private void step() {
            act();
            passTime();
        }

        private void passTime() {
            final int count = 1 + pendingRewrites.size() / 4;
            for (int i = 0; i < count && !pendingRewrites.isEmpty(); i++) {
                pendingRewrites.poll().run();
            }
            while (store.deliver(random)) {
                check();
            }
            now.addAndGet(STEP_MILLIS);
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            servers.removeExpired();
            state.checkRestoreGrace();
            rollouts.writeDue();
            while (store.deliver(random)) {
                check();
            }
            onRolloutEnd();
            check();
        }

        /**
         * Stops the old version's servers when a rollout completes, and the new version's when it
         * is halted.
         */
        private void onRolloutEnd() {
            store.order("models")
                    .filter(
                            o ->
                                    o.phase().ended()
                                            && orderedVersion.equals(Optional.of(o.target())))
                    .ifPresent(
                            o -> {
                                final boolean completed = o.phase() == RolloutPhase.COMPLETED;
                                if (completed) {
                                    currentVersion = o.target();
                                }
                                stopServers(o.target(), completed);
                            });
        }

        private void stopServers(final String target, final boolean completed) {
            for (final String id : List.copyOf(entriesById.keySet())) {
                final boolean ofTarget = entriesById.get(id).version().equals(target);
                if (ofTarget != completed) {
                    entriesById.remove(id);
                    writeEntry(id);
                }
            }
        }

        private void check() {
            store.order("models")
                    .filter(o -> o.phase() == RolloutPhase.COMPLETED)
                    .ifPresent(o -> currentAndFormerVersions.add(o.target()));
            final long version = state.configuration().map(c -> c.version()).orElse(0L);
            assertThat(version).isGreaterThanOrEqualTo(lastConfiguration);
            lastConfiguration = version;
            for (final TrackedServer server : state.servers().all()) {
                if (server.entry().draining()) {
                    seenDraining.add(server.entry().id().value());
                }
            }
            assertThat(usable()).as("drained servers").noneMatch(seenDraining::contains);
            final Canary canary = state.canary(SERVICE);
            for (int i = 1; i <= lastNumber; i++) {
                final String versionName = "v" + i;
                if (!currentAndFormerVersions.contains(versionName)) {
                    assertThat(canary.admits(versionName, false)).as(versionName).isFalse();
                }
                if (halted.contains(versionName)) {
                    assertThat(canary.admits(versionName, true)).as(versionName).isFalse();
                }
            }
        }

        private Set<String> usable() {
            final Set<String> ids = new TreeSet<>();
            state.servers().usable(SERVICE).forEach(s -> ids.add(s.entry().id().value()));
            return ids;
        }

        private void checkAgreement() {
            assertThat(state.configuration().orElseThrow().version()).isEqualTo(configuration);
            final Set<String> expected = new TreeSet<>();
            entriesById.forEach(
                    (id, entry) -> {
                        if (!entry.draining()) {
                            expected.add(id);
                        }
                    });
            assertThat(usable()).isEqualTo(expected);
            orderedVersion.ifPresent(
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
    void vmNeverContradictsHistoryAndFinallyAgreesWithStore(@ForAll final long seed) {
        final Simulation simulation = new Simulation(seed);
        for (int i = 0; i < STEPS; i++) {
            simulation.step();
        }
        for (int i = 0; i < SETTLING_STEPS; i++) {
            simulation.passTime();
        }
        simulation.checkAgreement();
    }
}
