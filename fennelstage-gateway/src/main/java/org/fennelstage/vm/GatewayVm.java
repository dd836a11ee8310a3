package org.fennelstage.vm;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.copy.CopyCollector;
import org.fennelstage.copy.CopyExchange;
import org.fennelstage.copy.CopyFormat;
import org.fennelstage.copy.StateCopies;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.OutlierDetection;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.gateway.Gateway;
import org.fennelstage.gateway.GatewayMetrics;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.gateway.RemoteMemory;
import org.fennelstage.gateway.Sockets;
import org.fennelstage.gateway.WireCodec;
import org.fennelstage.http.EventLoopPause;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.HttpServer;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.http.ServerLimits;
import org.fennelstage.log.ContainedTask;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.log.LogSetup;
import org.fennelstage.permit.PermitLedger;
import org.fennelstage.placement.Placement;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.serving.CallerLimits;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.speed.ServerSpeeds;
import org.fennelstage.startup.CopyAnnouncements;
import org.fennelstage.startup.CopyRequests;
import org.fennelstage.stop.Drain;
import org.fennelstage.store.CoalescedStore;
import org.fennelstage.store.EraTracker;
import org.fennelstage.store.FallbackStore;
import org.fennelstage.store.Follower;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.VmEntry;
import org.fennelstage.store.WatchPace;
import org.fennelstage.time.MonotonicClock;

/**
 * Connects the parts of one VM: its listeners, its followers of the store and its gateway.
 *
 * <p>Everything runs on one event loop: VMs have less than one core, and a request that stays on
 * one thread needs no locks. {@link #stop} and {@link #apply} may be called from any thread.
 */
public final class GatewayVm {

    /** Time between two runs of the periodic tasks; milliseconds. */
    private static final long PERIODIC_TASK_MILLIS = 100;

    /** Upper bound of the number of the first permit. */
    private static final long MAX_FIRST_PERMIT = 1L << 50;

    private VmSettings settings;
    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final GatewayState state;
    private final Gateway gateway;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ServerFeed serverFeed;
    private final RolloutFeed rolloutFeed;
    private final QuarantineFeed quarantineFeed;
    private final OverloadDetector overload;
    private final PauseMonitor pauses;
    private final DroppedLinesReport droppedLines;
    private final OutlierDetection outliers;
    private final ServerSpeeds speeds;
    private final EvacuationFeed evacuationFeed;
    private final CrashBroadcast crashBroadcast;
    private final LoadReports loadReports;
    private final RolloutAges rolloutAges;
    private final RolloutEvidenceReports rolloutEvidence;
    private final ChangeReports changeReports;
    private final AdmissionMonitor admission;
    private final PeerMessageDispatcher dispatcher;
    private final HttpServer callerListener;
    private final HttpServer peerListener;
    private final EraTracker eras = EraTracker.empty();
    private final Readiness readiness;
    private final CopyExchange copies;
    private final List<ContainedTask> periodicTasks;
    private boolean stopping;

    private GatewayVm(
            final VmSettings settings,
            final WireCodec codec,
            final BiFunction<HttpClient, InetSocketAddress, Store> storeAt,
            final CopyFormat copyFormat)
            throws IOException {
        this.settings = settings;
        this.group = new NioEventLoopGroup(1);
        this.loop = group.next();
        final MonotonicClock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        // RandomGenerator.of would load every algorithm of the JDK during the start.
        final RandomGenerator random = new SplittableRandom();
        this.pauses = PauseMonitor.of(clock);
        this.droppedLines = new DroppedLinesReport(LogSetup::dropped, clock);
        this.state = new GatewayState(clock, pauses.listening(), settings.bounds());
        final HttpClient serverClient = new HttpClient(loop);
        final RemoteMemory memory = new RemoteMemory();
        final HttpClient storeClient = new HttpClient(loop, memory.ofOwnCalls());
        final Peers peers =
                new Peers(
                        ownEntry(settings),
                        address -> storeAt.apply(storeClient, Sockets.address(address)),
                        state::onVmCount);
        peers.onFleetKnown(others -> state.onVms(settings.vm(), others));
        final LoadBoard loadBoard = LoadBoard.of(clock, peers::othersPerLoadPeer);
        this.outliers = OutlierDetection.of(loadBoard, random::nextDouble);
        this.speeds = ServerSpeeds.of(loadBoard, clock);
        this.gateway =
                new Gateway(
                        state,
                        codec,
                        serverClient,
                        Placement.of(settings.dataCentre(), random, loadBoard),
                        random,
                        metrics,
                        memory,
                        settings.policy());
        if (settings.policy().uses(Mechanism.SERVER_SPEEDS)) {
            gateway.useSpeeds(speeds);
        }
        final FallbackStore store =
                new FallbackStore(
                        storeAt.apply(storeClient, settings.store()), peers::relays, clock);
        final CoalescedStore coalesced =
                new CoalescedStore(
                        store,
                        peers::coalescingRelays,
                        () -> this.settings.bounds().maxPropagationDelay(),
                        clock);
        this.readiness = new Readiness(settings, state);
        this.copies = copyExchange(copyFormat, storeClient, store, peers, random);
        this.serverFeed = new ServerFeed(state, readiness::onServersListed);
        this.rolloutFeed =
                new RolloutFeed(
                        state,
                        store,
                        InstantSource.system(),
                        peers::rankFor,
                        readiness::onRolloutsListed);
        this.quarantineFeed =
                new QuarantineFeed(
                        gateway.crashes(),
                        store,
                        peers::rankFor,
                        clock,
                        readiness::onQuarantineListed);
        gateway.crashes().onQuarantined(quarantineFeed::writeDue);
        this.evacuationFeed = new EvacuationFeed(state, readiness::onEvacuationsListed);
        this.callerListener =
                HttpServer.start(
                        group,
                        settings.callers(),
                        this::limits,
                        Optional::empty,
                        memory.ofRequests(),
                        gateway);
        this.overload =
                new OverloadDetector(
                        Duration.ofMillis(PERIODIC_TASK_MILLIS),
                        callerListener::acceptDelay,
                        clock);
        callerListener.refuseConnectionsWhile(overload::isOverloaded);
        this.peerListener = startInternalListeners(storeClient, store, serverClient, memory);
        final PeerMessenger messenger =
                PeerMessenger.start(
                        loop,
                        settings.peers(),
                        peers::dataCentrePeers,
                        clock,
                        (message, sender) -> {
                            copies.onSender(sender);
                            onMessage(message, random.nextDouble());
                        });
        copies.announceThrough(
                () -> peers.dataCentrePeers().size(),
                () ->
                        messenger.send(
                                new PeerMessage.GivesCopies(settings.vm()),
                                peers.dataCentrePeers()));
        if (settings.policy().uses(Mechanism.PEER_NEWS)) {
            gateway.onUnreachable(messenger::reportUnreachable);
        }
        gateway.forwardThrough(new HttpClient(loop), peers::allPeers);
        this.crashBroadcast = new CrashBroadcast(peers::allPeers, messenger::send, clock);
        gateway.onServerDraining(
                server -> messenger.send(new PeerMessage.Draining(server), peers.allPeers()));
        serverFeed.onDeparture(
                new DepartureReports(settings.vm(), peers, messenger::send)::onDeparture);
        final LimitReports limitReports = new LimitReports(peers::allPeers, messenger::send, clock);
        gateway.onServerLimit(limitReports::onLimit);
        gateway.crashes().onDetected(crashBroadcast::onReport, crashBroadcast::onClearedCrashes);
        this.rolloutAges = new RolloutAges(state, peers::allPeers, messenger::send, random);
        this.rolloutEvidence =
                new RolloutEvidenceReports(state, peers::allPeers, messenger::send, random);
        this.changeReports =
                new ChangeReports(
                        settings.vm(),
                        peers,
                        messenger::send,
                        this::schedule,
                        () -> this.settings.bounds().maxPropagationDelay());
        final LoadCollection collection =
                new LoadCollection(settings.vm(), peers, loadBoard, messenger::send, clock);
        final PermitLedger ledger =
                settings.policy().uses(Mechanism.FAIR_ADMISSION)
                        ? PermitLedger.emptyWithFairShares(clock)
                        : PermitLedger.empty(clock);
        this.admission = new AdmissionMonitor(ledger, metrics);
        final PermitExchange permits =
                new PermitExchange(
                        settings.vm(),
                        peers,
                        messenger::send,
                        this::schedule,
                        clock,
                        ledger,
                        admission::onDecision,
                        random.nextLong(MAX_FIRST_PERMIT));
        if (settings.policy().uses(Mechanism.PERMITS)) {
            gateway.usePermits(permits);
        }
        this.dispatcher =
                new PeerMessageDispatcher(
                        state,
                        gateway.crashes(),
                        collection,
                        rolloutAges,
                        rolloutEvidence,
                        limitReports,
                        permits,
                        changeReports);
        this.loadReports =
                new LoadReports(
                        settings.vm(), state.servers(), peers, collection, messenger::send, clock);
        this.periodicTasks = periodicTasks();
        // Runs on the loop, to which the store client and the state are confined: started from
        // this thread, the first responses would race with the calls that are still being made.
        loop.execute(
                () -> {
                    final boolean shared = settings.policy().uses(Mechanism.SHARED_CALLS);
                    follow(new StoreWatches(loop, shared ? coalesced : store, random, eras), peers);
                    loop.scheduleWithFixedDelay(
                            ContainedTask.of("period", this::onPeriod),
                            PERIODIC_TASK_MILLIS,
                            PERIODIC_TASK_MILLIS,
                            TimeUnit.MILLISECONDS);
                    peers.start(loop, store);
                    eras.onNewEra(() -> peers.onStoreRestored(loop, store, random));
                });
    }

    private CopyExchange copyExchange(
            final CopyFormat format,
            final HttpClient storeClient,
            final FallbackStore store,
            final Peers peers,
            final RandomGenerator random) {
        if (!settings.policy().uses(Mechanism.STATE_COPIES)) {
            return CopyExchange.disabled();
        }
        gateway.estimateStartFrom(new ProcessAge(state.clock(), InstantSource.system()));
        final StateCopies given =
                new StateCopies(
                        format,
                        store::failedSinceMillis,
                        state::knowsAllVersions,
                        settings.linkMegabits(),
                        new CopyAnnouncements(random::nextLong),
                        state.clock());
        given.giveWhile(readiness::isReady);
        given.giveServers(state::mayPassOn);
        final CopyCollector asked =
                new CopyCollector(
                        vm -> format.sourceAt(storeClient, vm),
                        peers::allPeers,
                        new CopyRequests<>(random::nextLong),
                        state.clock());
        return CopyExchange.of(given, asked);
    }

    /** Runs a task after a delay; after a pause, once what others have sent meanwhile is read. */
    private void schedule(final Runnable task, final Duration delay) {
        final long dueMillis = state.clock().millis() + delay.toMillis();
        loop.schedule(
                () -> {
                    if (pauses.isLate(dueMillis)) {
                        loop.schedule(
                                task, EventLoopPause.READ_TIME.toMillis(), TimeUnit.MILLISECONDS);
                    } else {
                        task.run();
                    }
                },
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void onMessage(final PeerMessage message, final double draw) {
        dispatcher.onMessage(message, draw);
    }

    /** Returns the listener for other VMs. */
    private HttpServer startInternalListeners(
            final HttpClient storeClient,
            final FallbackStore store,
            final HttpClient serverClient,
            final RemoteMemory memory)
            throws IOException {
        HttpServer.start(group, settings.readiness(), ServerLimits.DEFAULT, readiness);
        final StoreRelay relay =
                new StoreRelay(
                        storeClient,
                        settings.store(),
                        store,
                        settings.linkMegabits(),
                        state.clock());
        final HttpServer peers =
                HttpServer.start(
                        group,
                        settings.peers(),
                        () -> ServerLimits.DEFAULT,
                        Optional::empty,
                        memory.ofRequests(),
                        exchange -> handlePeer(exchange, relay));
        if (settings.metrics().isPresent()) {
            final VmMetrics vmMetrics =
                    new VmMetrics(
                            metrics,
                            state,
                            gateway,
                            eras,
                            serverClient,
                            readiness::startProcessorSeconds,
                            pauses::pausedSeconds,
                            copies);
            HttpServer.start(group, settings.metrics().get(), ServerLimits.DEFAULT, vmMetrics);
        }
        return peers;
    }

    /** Handles what another VM forwards: a caller's request, or a call to the store. */
    private void handlePeer(final ServerExchange exchange, final StoreRelay relay) {
        if (Gateway.isForwarded(exchange)) {
            gateway.handleForwarded(exchange);
        } else {
            copies.handle(exchange, relay);
        }
    }

    private void follow(final StoreWatches watches, final Peers peers) {
        final Follower<RolloutOrder> rollouts =
                copies.include(
                        StoreKind.ROLLOUTS,
                        changeReports.follow(
                                watches,
                                StoreKind.ROLLOUTS,
                                () -> paceForRareChanges(StoreWatches.ROLLOUT_PACE, peers),
                                rolloutFeed));
        state.onOrdersNeeded(rollouts::refresh);
        if (settings.evacuations()) {
            copies.include(
                            StoreKind.EVACUATIONS,
                            changeReports.follow(
                                    watches,
                                    StoreKind.EVACUATIONS,
                                    () -> paceForRareChanges(StoreWatches.EVACUATION_PACE, peers),
                                    evacuationFeed))
                    .start();
        }
        copies.include(
                        StoreKind.CONFIGURATION,
                        changeReports.follow(
                                watches,
                                StoreKind.CONFIGURATION,
                                () ->
                                        StoreWatches.configurationPace(
                                                settings.bounds().maxPropagationDelay()),
                                new ConfigurationFeed(state)))
                .start();
        rollouts.start();
        copies.include(
                        StoreKind.SERVERS,
                        watches.of(
                                StoreKind.SERVERS,
                                () ->
                                        peers.hasJustStarted()
                                                ? StoreWatches.STARTING_SERVER_PACE
                                                : StoreWatches.SERVER_PACE,
                                serverFeed))
                .start();
        copies.include(
                        StoreKind.QUARANTINE,
                        watches.of(
                                StoreKind.QUARANTINE,
                                () ->
                                        paceForRareChanges(
                                                readiness.knowsQuarantine()
                                                        ? StoreWatches.QUARANTINE_PACE
                                                        : StoreWatches.FIRST_QUARANTINE_PACE,
                                                peers),
                                quarantineFeed))
                .start();
    }

    private static WatchPace paceForRareChanges(final WatchPace pace, final Peers peers) {
        return peers.hasJustStarted() ? pace.withListPause(StoreWatches.STARTING_LIST_PAUSE) : pace;
    }

    /**
     * Starts a VM.
     *
     * @param settings the settings of the VM
     * @param codec translates the wire format
     * @param storeAt creates a client of the store at an address
     * @param copyFormat the form in which VMs give copies of what they read from the store
     * @return the running VM; it becomes ready once it has read its state from the store, or from
     *     another VM while the store is unavailable
     * @throws IOException if an address cannot be bound
     */
    public static GatewayVm start(
            final VmSettings settings,
            final WireCodec codec,
            final BiFunction<HttpClient, InetSocketAddress, Store> storeAt,
            final CopyFormat copyFormat)
            throws IOException {
        Objects.requireNonNull(settings, "settings is null");
        EventLog.write(
                Event.STARTED,
                "vm",
                settings.vm(),
                "data_centre",
                settings.dataCentre(),
                "callers",
                settings.callers(),
                "store",
                settings.store());
        return new GatewayVm(settings, codec, storeAt, copyFormat);
    }

    /**
     * Stops gracefully: fails the health check, finishes the requests in flight, then runs an
     * action.
     *
     * @param whenStopped runs at the end, on the event loop
     */
    public void stop(final Runnable whenStopped) {
        stop(() -> Duration.ZERO, whenStopped);
    }

    /**
     * Stops gracefully after a signal that came earlier.
     *
     * @param sinceSignal supplies the time since the signal, from which the grace period counts
     * @param whenStopped runs at the end, on the event loop
     */
    public void stop(final Supplier<Duration> sinceSignal, final Runnable whenStopped) {
        loop.execute(() -> beginStop(sinceSignal.get(), whenStopped));
    }

    /**
     * Applies new bounds to what begins from now on. Changes of addresses need a restart.
     *
     * @param newer the settings as read again
     */
    public void apply(final VmSettings newer) {
        loop.execute(
                () -> {
                    EventLog.write(
                            Event.SETTINGS_RELOADED,
                            "changed",
                            !newer.equals(settings),
                            "needs_restart",
                            !newer.withBounds(settings.bounds()).equals(settings));
                    settings = settings.withBounds(newer.bounds());
                    state.apply(newer.bounds());
                });
    }

    /**
     * Sets an action for the end of the event loop. Unless the VM was killed, only an error ends
     * it: what it runs for requests and as tasks cannot.
     *
     * @param action runs once, on another thread
     */
    public void whenEventLoopEnds(final Runnable action) {
        Objects.requireNonNull(action, "action is null");
        loop.terminationFuture().addListener(ended -> action.run());
    }

    /** Stops at once and drops all connections; for tests. */
    public void kill() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private void beginStop(final Duration sinceSignal, final Runnable whenStopped) {
        if (stopping) {
            return;
        }
        stopping = true;
        final boolean wasReady = readiness.isReady();
        readiness.onStopping();
        final long signalMillis = state.clock().millis() - sinceSignal.toMillis();
        final Drain drain =
                Drain.of(
                        state.clock(),
                        pauses.listening(),
                        signalMillis,
                        Math.min(signalMillis, pauses.earliestSignalMillis()),
                        wasReady,
                        settings.bounds().grace());
        new VmStop(
                        settings.vm(),
                        gateway,
                        callerListener,
                        peerListener,
                        this::schedule,
                        drain,
                        whenStopped)
                .begin();
    }

    private void checkOverload() {
        if (overload.onPeriodicTask()) {
            EventLog.write(
                    Event.OVERLOAD_CHANGED,
                    "overloaded",
                    overload.isOverloaded(),
                    "in_flight",
                    gateway.inFlight(),
                    "connections",
                    callerListener.openConnections(),
                    "refused_since_start",
                    callerListener.refusedConnections());
        }
    }

    private void checkOutliers() {
        if (!settings.policy().uses(Mechanism.OUTLIER_DETECTION)) {
            return;
        }
        for (final OutlierDetection.Change change : outliers.update(state.servers().all())) {
            EventLog.write(
                    Event.SERVER_OUTLIER_CHANGED,
                    "server",
                    change.server().entry().incarnation(),
                    "outlier",
                    change.outlier(),
                    "responses",
                    change.outcomes().responses(),
                    "excess_failures",
                    change.outcomes().excess(),
                    "lowest_rate",
                    change.lowestRate());
        }
    }

    private void checkSpeeds() {
        if (!settings.policy().uses(Mechanism.SERVER_SPEEDS)) {
            return;
        }
        for (final ServerSpeeds.Change change : speeds.update(state.servers().all())) {
            EventLog.write(
                    Event.SERVER_SPEED_CHANGED,
                    "server",
                    change.server().entry().incarnation(),
                    "slowness",
                    change.server().slowness(),
                    "before",
                    change.before(),
                    "samples",
                    change.pace().samples(),
                    "log_sum",
                    change.pace().logSum(),
                    "usual",
                    change.usual());
        }
    }

    /**
     * Runs the periodic tasks. After a pause the event loop runs due tasks before it reads its
     * sockets, so they wait until what others have sent meanwhile is read.
     */
    private void onPeriod() {
        if (pauses.onPeriod(gateway.inFlight(), LogSetup.dropped())) {
            loop.schedule(
                    this::runPeriodicTasks,
                    EventLoopPause.READ_TIME.toMillis(),
                    TimeUnit.MILLISECONDS);
        } else {
            runPeriodicTasks();
        }
    }

    private void runPeriodicTasks() {
        periodicTasks.forEach(ContainedTask::run);
    }

    /** Returns the periodic tasks; one that fails does not keep the others from running. */
    private List<ContainedTask> periodicTasks() {
        return List.of(
                ContainedTask.of("dropped lines", droppedLines::writeDue),
                ContainedTask.of("overload", this::checkOverload),
                ContainedTask.of("outliers", this::checkOutliers),
                ContainedTask.of("admission", admission::logChanges),
                ContainedTask.of("speeds", this::checkSpeeds),
                ContainedTask.of("inactivity", gateway::checkInactivity),
                ContainedTask.of("load reports", this::sendLoadReports),
                ContainedTask.of("peer news", this::sendPeerNews),
                ContainedTask.of("expired servers", serverFeed::removeExpired),
                ContainedTask.of("restore grace", state::checkRestoreGrace),
                ContainedTask.of("evacuations", evacuationFeed::endUnconfirmed),
                ContainedTask.of("rollouts", rolloutFeed::writeDue),
                ContainedTask.of("crashes", crashBroadcast::sendDue),
                ContainedTask.of("quarantine", quarantineFeed::writeDue),
                ContainedTask.of("copies", copies::runPeriodicTask),
                ContainedTask.of("readiness", readiness::update));
    }

    private void sendLoadReports() {
        if (settings.policy().uses(Mechanism.LOAD_REPORTS)) {
            loadReports.sendDue();
        }
    }

    private void sendPeerNews() {
        if (settings.policy().uses(Mechanism.PEER_NEWS)) {
            rolloutAges.sendDue();
            rolloutEvidence.sendDue();
        }
    }

    private static VmEntry ownEntry(final VmSettings settings) {
        final InetSocketAddress peers = settings.peers();
        return new VmEntry(
                settings.vm(),
                settings.dataCentre(),
                new ServerAddress(peers.getHostString(), peers.getPort()));
    }

    private ServerLimits limits() {
        final CallerLimits limits =
                state.configuration()
                        .map(ServingConfiguration::limits)
                        .orElse(CallerLimits.UNTIL_CONFIGURED);
        return new ServerLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeout(),
                limits.idleTimeout());
    }
}
