package org.fennelstage.main;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.configuration.ConfigurationTable;
import org.fennelstage.configuration.Digest;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.control.Bills;
import org.fennelstage.control.ClaimKeeper;
import org.fennelstage.control.Claims;
import org.fennelstage.control.ConfigurationWatcher;
import org.fennelstage.control.Duties;
import org.fennelstage.control.Rollouts;
import org.fennelstage.control.StatusReporter;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.HttpServer;
import org.fennelstage.http.ServerLimits;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.member.Member;
import org.fennelstage.member.MemberTable;
import org.fennelstage.objects.CallBudget;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.ObjectApiClient;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.peer.PeerGroup;
import org.fennelstage.peer.PeerNetwork;
import org.fennelstage.peer.PeerTiming;
import org.fennelstage.peer.PeerTls;
import org.fennelstage.peer.Reachability;
import org.fennelstage.peer.generated.Envelope;
import org.fennelstage.request.RequestIds;
import org.fennelstage.rollout.ExposurePolicy;
import org.fennelstage.rollout.HaltTable;
import org.fennelstage.route.AdminApi;
import org.fennelstage.route.Router;
import org.fennelstage.route.RouterMetrics;
import org.fennelstage.settings.Settings;

/**
 * Assembles and runs one VM, from its start to its graceful stop: the tables of members and
 * configuration, the duties for the data centre, and the HTTP servers for callers and operators.
 *
 * <p>Every shared table has one monitor. No method holds a monitor while it calls another table, a
 * peer or the store, so no lock order is needed. Thread-safe.
 */
public final class RouterVm implements AutoCloseable {

    private static final Duration PEER_CONFIGURATION_WAIT = Duration.ofMillis(400);
    private static final Duration STOP_POLL_PERIOD = Duration.ofMillis(20);

    /** Longest time for which callers are given the last responses. */
    private static final Duration LAST_RESPONSES = Duration.ofMillis(300);

    private static final Duration TLS_CHECK_PERIOD = Duration.ofSeconds(5);

    private final Settings settings;
    private final EventLoopGroup group;
    private final EventLoop controlLoop;
    private final ConfigurationTable configurationTable = ConfigurationTable.empty();
    private final HaltTable halts = HaltTable.empty();
    private final RouterMetrics metrics = new RouterMetrics();
    private final MemberTable members;
    private final PeerNetwork network;
    private final PeerGroup peers;
    private final Duties duties;
    private final ClaimKeeper claimKeeper;
    private final Claims claims;
    private final Bills bills;
    private final Rollouts rollouts;
    private final ConfigurationWatcher watcher;
    private final StatusReporter statusReporter;
    private final Router router;
    private final HttpServer callerServer;
    private final HttpServer adminServer;
    private final ObjectStore store;
    private volatile Configuration configuration = Configuration.empty();
    private volatile boolean draining;
    private volatile boolean started;

    /**
     * Dependencies of a VM that tests and trials can replace.
     *
     * @param store the store, empty to connect to the object API at the address in the settings
     * @param clock the clock
     * @param reachability the peers to which connections are permitted
     * @param timing the intervals and timeouts of peer messages
     * @param policy the limits on exposures of the new version of a rollout
     * @param threads the number of event loops
     */
    public record Environment(
            Optional<ObjectStore> store,
            InstantSource clock,
            Reachability reachability,
            PeerTiming timing,
            ExposurePolicy policy,
            int threads) {

        /**
         * Returns the environment for production.
         *
         * @return the environment
         */
        public static Environment standard() {
            return new Environment(
                    Optional.empty(),
                    InstantSource.system(),
                    Reachability.ALL,
                    PeerTiming.DEFAULT,
                    ExposurePolicy.DEFAULT,
                    2);
        }

        /**
         * Returns this environment with another store.
         *
         * @param other the store
         * @return the environment
         */
        public Environment withStore(final ObjectStore other) {
            return new Environment(
                    Optional.of(other), clock, reachability, timing, policy, threads);
        }
    }

    private RouterVm(final Settings settings, final Environment environment) throws IOException {
        this.settings = settings;
        this.group = new NioEventLoopGroup(environment.threads());
        this.controlLoop = group.next();
        final InstantSource clock = environment.clock();
        final SplittableRandom random =
                new SplittableRandom(settings.vm().id().hashCode() ^ clock.millis());
        this.store = environment.store().orElseGet(() -> objectApiClient(clock));
        final PeerTls tls = peerTls();
        this.network =
                PeerNetwork.start(
                        group,
                        settings.vm().id(),
                        new InetSocketAddress(
                                settings.listen().host(), settings.listen().peerPort()),
                        tls,
                        environment.reachability(),
                        this::onMessage);
        this.members =
                MemberTable.of(
                        new Member(
                                settings.vm().id(),
                                settings.vm().dataCentre(),
                                settings.listen().host(),
                                network.port(),
                                clock.millis(),
                                Member.State.ALIVE),
                        clock,
                        random.split(),
                        environment.timing().suspicion());
        this.peers =
                new PeerGroup(
                        new PeerGroup.Tables(members, configurationTable, halts),
                        controlLoop,
                        environment.timing(),
                        random.split(),
                        settings.seeds(),
                        new PeerListener());
        this.duties = new Duties(members, peers, network);
        this.claimKeeper =
                new ClaimKeeper(
                        store, controlLoop, clock, random.split(), settings.claims().timeout());
        this.claims =
                new Claims(
                        duties,
                        claimKeeper,
                        controlLoop,
                        clock,
                        settings.claims().slots(),
                        settings.claims().timeout());
        this.bills = new Bills(duties, store, controlLoop, clock);
        this.rollouts =
                new Rollouts(
                        new Rollouts.Dependencies(() -> configuration, duties, peers, halts, store),
                        controlLoop,
                        clock,
                        environment.policy(),
                        settings.rating().address().isPresent() ? settings.rating().share() : 0);
        this.watcher =
                new ConfigurationWatcher(
                        store, duties, peers, configurationTable, controlLoop, random.split());
        this.statusReporter =
                new StatusReporter(
                        duties,
                        members,
                        configurationTable,
                        store,
                        controlLoop,
                        clock,
                        this::isReady);
        this.router =
                new Router(
                        new Router.Dependencies(
                                () -> configuration,
                                clock,
                                RequestIds.of(settings.vm().id(), members.self().incarnation()),
                                claims,
                                bills,
                                rollouts,
                                metrics,
                                duties,
                                controlLoop),
                        settings.vm().dataCentre(),
                        this::vmCount,
                        settings.rating().address(),
                        settings.rating().share());
        this.callerServer = startCallerServer();
        this.adminServer =
                HttpServer.start(
                        group,
                        new InetSocketAddress(
                                settings.listen().adminHost(), settings.listen().adminPort()),
                        ServerLimits.DEFAULT,
                        new AdminApi(this::isReady, metrics, this::statusJson));
    }

    /**
     * Starts a VM.
     *
     * @param settings the settings of the VM
     * @param environment the dependencies of the VM
     * @return the running VM, ready as soon as it has a configuration
     * @throws IOException if an address cannot be bound or a key file cannot be read
     */
    public static RouterVm start(final Settings settings, final Environment environment)
            throws IOException {
        final RouterVm vm = new RouterVm(settings, environment);
        vm.startComponents();
        return vm;
    }

    public int port() {
        return callerServer.port();
    }

    public int adminPort() {
        return adminServer.port();
    }

    public int peerPort() {
        return network.port();
    }

    /**
     * Returns whether the VM accepts requests from callers.
     *
     * @return true if the VM has a configuration and is not draining
     */
    public boolean isReady() {
        return !draining && !configuration.digest().equals(Digest.EMPTY);
    }

    public Configuration configuration() {
        return configuration;
    }

    public MemberTable members() {
        return members;
    }

    public HaltTable halts() {
        return halts;
    }

    public PeerNetwork network() {
        return network;
    }

    public Bills bills() {
        return bills;
    }

    /**
     * Stops gracefully: rejects new requests, waits for requests in flight for at most the drain
     * time in the settings, ends those that are still open, writes its bills to the store or hands
     * them over to another VM, and closes.
     */
    public void stop() {
        EventLog.write(Event.DRAINING, "vm", settings.vm().id(), "in_flight", router.inFlight());
        draining = true;
        peers.leave();
        callerServer.stopAccepting();
        router.drain();
        final long drainDeadline = System.nanoTime() + settings.drain().toNanos();
        awaitUntil(drainDeadline, () -> router.inFlight() == 0);
        if (router.inFlight() > 0) {
            EventLog.write(Event.DRAIN_TIMED_OUT, "in_flight", router.inFlight());
            router.endOpenRequests();
            awaitUntil(
                    System.nanoTime() + LAST_RESPONSES.toNanos(),
                    () -> router.inFlight() == 0 && callerServer.unwrittenResponses() == 0);
        }
        final long billsDeadline = System.nanoTime() + Duration.ofSeconds(3).toNanos();
        awaitUntil(
                billsDeadline,
                () -> {
                    bills.flush();
                    return bills.waiting() == 0;
                });
        if (bills.waiting() > 0) {
            bills.handOver().orTimeout(2, TimeUnit.SECONDS).exceptionally(e -> null).join();
        }
        close();
        EventLog.write(Event.STOPPED, "vm", settings.vm().id());
    }

    /** Stops immediately, without draining, as in a crash. */
    @Override
    public void close() {
        watcher.close();
        peers.close();
        callerServer.close();
        adminServer.close();
        network.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void startComponents() {
        started = true;
        peers.start(network);
        watcher.start(settings.seeds().isEmpty() ? Duration.ZERO : PEER_CONFIGURATION_WAIT);
        bills.start();
        rollouts.start();
        router.ledger().start();
        statusReporter.start();
        metrics.gauge("fennelstage_bills_waiting", "Bills not yet stored", () -> bills.waiting());
        metrics.gauge("fennelstage_claims_cached", "Claims in memory", () -> claimKeeper.cached());
        metrics.gauge(
                "fennelstage_configuration_revision",
                "Highest configuration revision in force",
                () -> configuration.digest().highest().value());
        metrics.gauge("fennelstage_peer_messages_sent", "Peer messages", network::messagesSent);
        metrics.gauge("fennelstage_peer_bytes_sent", "Peer bytes", network::bytesSent);
        EventLog.write(
                Event.STARTED,
                "vm",
                settings.vm().id(),
                "data_centre",
                settings.vm().dataCentre(),
                "port",
                port(),
                "admin_port",
                adminPort(),
                "peer_port",
                peerPort());
    }

    private HttpServer startCallerServer() throws IOException {
        final Settings.Limits limits = settings.limits();
        final ServerLimits serverLimits =
                ServerLimits.of(limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.idle());
        final InetSocketAddress address =
                new InetSocketAddress(settings.listen().host(), settings.listen().port());
        if (settings.tls().callers().isEmpty()) {
            return HttpServer.start(group, address, serverLimits, router);
        }
        final TlsContexts tls = TlsContexts.load(settings.tls().callers().get());
        watchKeyFiles(tls);
        return HttpServer.start(group, address, () -> serverLimits, tls::server, router);
    }

    private PeerTls peerTls() throws IOException {
        if (settings.tls().peers().isEmpty()) {
            return PeerTls.NONE;
        }
        final TlsContexts tls = TlsContexts.load(settings.tls().peers().get());
        watchKeyFiles(tls);
        return new PeerTls(tls::server, tls::client);
    }

    private void watchKeyFiles(final TlsContexts tls) {
        final long period = TLS_CHECK_PERIOD.toMillis();
        controlLoop.scheduleWithFixedDelay(tls::refresh, period, period, TimeUnit.MILLISECONDS);
    }

    private ObjectStore objectApiClient(final InstantSource clock) {
        final Settings.Platform platform = settings.platform();
        return new ObjectApiClient(
                new HttpClient(controlLoop),
                platform.objects(),
                CallBudget.of(clock, platform.callsPerSecond(), platform.burst()),
                platform.timeout());
    }

    private void onMessage(final Envelope message, final Consumer<Envelope.Builder> reply) {
        if (!started) {
            // Peers may connect before this VM is completely initialized. They get no reply and
            // send the message again.
            return;
        }
        final boolean handled =
                peers.handle(message, reply)
                        || claims.handle(message, reply)
                        || bills.handle(message, reply)
                        || rollouts.handle(message, reply)
                        || router.ledger().handle(message, reply)
                        || statusReporter.handle(message);
        if (!handled) {
            reply.accept(Envelope.newBuilder());
        }
    }

    /** Estimates the VMs of all data centres, as if each data centre had as many as this one. */
    private int vmCount() {
        final int localVms = members.dutyVms().size();
        return localVms * (1 + members.remoteMembers().size());
    }

    private byte[] statusJson() {
        final Map<String, Object> state = new TreeMap<>();
        state.put("vm", settings.vm().id());
        state.put("ready", isReady());
        state.put("revision", configuration.digest().highest().value());
        state.put("in_flight", router.inFlight());
        state.put("bills_waiting", bills.waiting());
        state.put("members", members.all());
        state.put("halted", halts.all());
        return Json.write(state);
    }

    private static void awaitUntil(
            final long deadlineNanos, final java.util.function.BooleanSupplier condition) {
        while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
            try {
                Thread.sleep(STOP_POLL_PERIOD.toMillis());
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private final class PeerListener implements PeerGroup.Listener {

        @Override
        public void onConfiguration(final List<StoredObject> changed) {
            final boolean wasReady = isReady();
            synchronized (this) {
                // Decoded under a lock, so that a slow thread cannot replace a newer configuration
                // with an older one, which would make a withdrawn version usable again.
                final Declarations.Decoded decoded = Declarations.decodeAll(configurationTable);
                decoded.malformed()
                        .forEach(m -> EventLog.write(Event.CONFIGURATION_MALFORMED, "detail", m));
                configuration = decoded.configuration();
            }
            EventLog.write(
                    Event.CONFIGURATION_CHANGED,
                    "revision",
                    configuration.digest().highest(),
                    "objects",
                    changed.size());
            if (!wasReady && isReady()) {
                EventLog.write(Event.READY, "vm", settings.vm().id());
            }
            statusReporter.reportNow();
        }

        @Override
        public void onMember(final Member member) {
            if (member.state() == Member.State.DEAD) {
                router.ledger().forget(member.id());
            }
            EventLog.write(
                    Event.PEER_STATE_CHANGED,
                    "member",
                    member.id(),
                    "state",
                    member.state(),
                    "incarnation",
                    member.incarnation());
        }

        @Override
        public void onHalts() {
            halts.all()
                    .forEach(
                            (rollout, signal) ->
                                    EventLog.write(
                                            Event.ROLLOUT_HALTED,
                                            "rollout",
                                            rollout,
                                            "signal",
                                            signal));
        }
    }
}
