package org.fennelstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.attempt.BaselineFailureRate;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.attempt.WindowedRetryBudget;
import org.fennelstage.canary.Canary;
import org.fennelstage.fleet.BrittleServices;
import org.fennelstage.fleet.ConnectionShare;
import org.fennelstage.fleet.Eligibility;
import org.fennelstage.fleet.Evacuations;
import org.fennelstage.fleet.RequestShares;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.serving.Service;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.serving.WarmUp;
import org.fennelstage.sizing.ConfidenceGains;
import org.fennelstage.time.MonotonicClock;

/**
 * What this VM knows of the fleet: configuration, backend servers and rollouts, and statistics of
 * its own requests.
 *
 * <p>Invariant: the version of the configuration never decreases.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class GatewayState {

    /**
     * Minimum number of VMs among which the retry slack of the fleet is divided, for a VM that does
     * not know yet how many others there are.
     */
    private static final int MIN_SLACK_SHARES = 16;

    /**
     * How long operators and backend servers may take to rewrite what the store lost when it was
     * restored from an older copy; milliseconds.
     */
    public static final long REWRITE_MILLIS = 4_000;

    private final MonotonicClock clock;
    private final MonotonicClock listening;
    private GatewaySettings settings;
    private final ServerTable servers;
    private final Evacuations evacuations;
    private final BrittleServices brittleServices;
    private final RequestShares requestShares = RequestShares.empty();
    private final Eligibility eligibility;
    private final Map<ServiceName, Canary> canaries = new HashMap<>();
    private final Map<ServiceName, WindowedRetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, BaselineFailureRate> baselineFailureRates = new HashMap<>();
    private final Map<String, LatencyEstimator> latencyEstimators = new HashMap<>();
    private final Map<String, ConfidenceGains> confidenceGains = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private int vmCount;
    private Position ordersReadUpTo = Position.NONE;
    private boolean inRestoreGrace;
    private long restoreGraceEndMillis;
    private Runnable refreshOrders = () -> {};

    /**
     * Creates the state of a VM that has read nothing from the store.
     *
     * @param clock the clock
     * @param settings the bounds set by the deployment
     */
    public GatewayState(final MonotonicClock clock, final GatewaySettings settings) {
        this(clock, clock, settings);
    }

    /**
     * Creates the state of a VM that has read nothing from the store.
     *
     * @param clock the clock
     * @param listening measures what this VM observes of others; leaves out its own pauses
     * @param settings the bounds set by the deployment
     */
    public GatewayState(
            final MonotonicClock clock,
            final MonotonicClock listening,
            final GatewaySettings settings) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.listening = Objects.requireNonNull(listening, "listening is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.servers = ServerTable.of(clock, listening);
        this.evacuations = Evacuations.empty(clock);
        this.brittleServices = BrittleServices.empty(clock);
        this.eligibility =
                new Eligibility(
                        evacuations, requestShares, this::warmUp, this.servers::isStoreUnavailable);
    }

    public MonotonicClock clock() {
        return clock;
    }

    /** Returns the clock that measures what this VM observes of others. */
    MonotonicClock listening() {
        return listening;
    }

    public ServerTable servers() {
        return servers;
    }

    public Evacuations evacuations() {
        return evacuations;
    }

    public BrittleServices brittleServices() {
        return brittleServices;
    }

    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    /**
     * Applies a configuration if it is newer than the current one.
     *
     * @param newer the configuration
     * @return whether it was applied
     */
    public boolean offer(final ServingConfiguration newer) {
        final boolean isNewer =
                configuration.isEmpty() || newer.version() > configuration.get().version();
        if (isNewer) {
            configuration = Optional.of(newer);
        }
        return isNewer;
    }

    /**
     * Applies new bounds. Retry budgets are reset; rollout states created earlier keep their
     * bounds.
     *
     * @param newer the bounds
     */
    public void apply(final GatewaySettings newer) {
        if (!newer.equals(settings)) {
            settings = newer;
            retryBudgets.clear();
        }
    }

    /**
     * Returns the rollout state of a service, created on first use.
     *
     * @param service the service
     * @return the state
     */
    public Canary canary(final ServiceName service) {
        return canaries.computeIfAbsent(service, this::newCanary);
    }

    private Canary newCanary(final ServiceName service) {
        final Canary canary = Canary.of(clock, listening, settings.canaryShare());
        canary.awaitEvidenceIf(() -> vmCount > 1);
        canary.onBadResponse(
                (server, measure, millis, limitMillis) ->
                        EventLog.write(
                                Event.NEW_VERSION_RESPONSE_BAD,
                                "service",
                                service,
                                "server",
                                server,
                                "measure",
                                measure,
                                "ms",
                                Math.round(millis),
                                "limit_ms",
                                Math.round(limitMillis),
                                "evidence",
                                canary.evidence()));
        return canary;
    }

    /**
     * Returns the rollout states created so far, by service.
     *
     * @return the states
     */
    public Map<ServiceName, Canary> canaries() {
        return canaries;
    }

    /** Returns the latency statistics of a service's backend servers with one model. */
    LatencyEstimator latencyEstimator(final ServiceName service, final Optional<ModelId> model) {
        final String key = service + "/" + model.map(ModelId::value).orElse("");
        return latencyEstimators.computeIfAbsent(key, k -> new LatencyEstimator());
    }

    /** Returns the confidence statistics of the models of a route. */
    ConfidenceGains confidenceGains(final String route) {
        return confidenceGains.computeIfAbsent(route, r -> ConfidenceGains.empty());
    }

    private double retrySlackShare() {
        return settings.retrySlack() / Math.max(MIN_SLACK_SHARES, vmCount);
    }

    /**
     * Sets the number of VMs registered in the store, including those that have stopped.
     *
     * @param count the count
     */
    public void onVmCount(final int count) {
        vmCount = count;
    }

    /**
     * Sets the VMs of the fleet.
     *
     * @param own this VM
     * @param others all others, including those that have stopped
     */
    public void onVms(final VmId own, final Set<VmId> others) {
        requestShares.onVms(own, others);
    }

    /** Returns this VM's share of the connections that each backend server of a service accepts. */
    ConnectionShare connectionShare(final ServiceName service) {
        final int accepted =
                configuration
                        .flatMap(c -> c.service(service))
                        .map(Service::maxConnections)
                        .orElse(0);
        return new ConnectionShare(accepted, vmCount);
    }

    private Optional<WarmUp> warmUp(final ServiceName service) {
        return configuration.flatMap(c -> c.service(service)).flatMap(Service::warmUp);
    }

    /**
     * Handles the end of the evacuation of a data centre.
     *
     * @param dataCentre the data centre
     */
    public void onEvacuationEnded(final DataCentreId dataCentre) {
        servers.all().stream()
                .filter(server -> server.entry().dataCentre().equals(dataCentre))
                .forEach(eligibility::onEvacuationEnded);
    }

    /**
     * Returns the statistics of the share of a route's requests that fail at any backend server.
     */
    BaselineFailureRate baselineFailureRate(final String route) {
        return baselineFailureRates.computeIfAbsent(route, r -> new BaselineFailureRate());
    }

    WindowedRetryBudget retryBudget(final ServiceName service) {
        return retryBudgets.computeIfAbsent(
                service,
                s ->
                        WindowedRetryBudget.of(
                                clock,
                                settings.retryWindow(),
                                settings.retryRatio(),
                                this::retrySlackShare));
    }

    /**
     * Sets the position up to which all rollout orders have been read.
     *
     * @param position the position
     */
    public void onOrdersReadUpTo(final Position position) {
        ordersReadUpTo = position.isAfter(ordersReadUpTo) ? position : ordersReadUpTo;
        admitVersions();
    }

    /**
     * Ends the grace period after a restore of the store once it has elapsed. To be called a few
     * times a second.
     */
    public void checkRestoreGrace() {
        if (inRestoreGrace && clock.millis() >= restoreGraceEndMillis) {
            inRestoreGrace = false;
            canaries.values().forEach(Canary::onStoreSettled);
            admitVersions();
            refreshOrders.run();
        }
    }

    private void admitVersions() {
        servers.all().forEach(server -> admitVersion(server.entry()));
    }

    /**
     * Handles a restore of the store from an older copy: starts the grace period in which operators
     * and backend servers rewrite what was lost.
     */
    public void onStoreRestored() {
        servers.onStoreRestored();
        canaries.values().forEach(Canary::onStoreRestored);
        inRestoreGrace = true;
        restoreGraceEndMillis = clock.millis() + REWRITE_MILLIS;
    }

    /**
     * Applies the entry of a backend server.
     *
     * @param entry the entry
     * @return false if it was ignored because it belongs to an incarnation that has ended
     */
    public boolean onServer(final ServerEntry entry) {
        if (!servers.put(entry)) {
            return false;
        }
        onVersion(entry);
        return true;
    }

    /**
     * Applies a complete list of the entries of backend servers.
     *
     * @param entries all entries
     */
    public void onAllServers(final Collection<ServerEntry> entries) {
        servers.replaceAll(entries);
        servers.all().forEach(server -> onVersion(server.entry()));
    }

    private void onVersion(final ServerEntry entry) {
        admitVersion(entry);
        final boolean isUnknown = !canary(entry.service()).knows(entry.version());
        if (isUnknown && !ordersReadUpTo.equals(Position.NONE)) {
            refreshOrders.run();
        }
    }

    /**
     * Returns whether this VM uses or has orders for the versions of all its backend servers.
     *
     * @return true if no unread rollout order concerns them
     */
    public boolean knowsAllVersions() {
        return servers.all().stream()
                .map(TrackedServer::entry)
                .allMatch(entry -> canary(entry.service()).knows(entry.version()));
    }

    /**
     * Returns whether a backend server may be passed on to a VM that starts: it is neither draining
     * nor of a version that this VM found bad.
     *
     * @param id the id
     * @return false also if the server is unknown
     */
    public boolean mayPassOn(final String id) {
        return servers.all().stream()
                .map(TrackedServer::entry)
                .filter(entry -> entry.id().value().equals(id))
                .anyMatch(
                        entry ->
                                !entry.draining()
                                        && !canary(entry.service()).isHalted(entry.version()));
    }

    /**
     * Sets the action that reads all rollout orders again. It runs when the version of a backend
     * server is unknown, and at the end of the grace period.
     *
     * @param action reads the orders
     */
    public void onOrdersNeeded(final Runnable action) {
        refreshOrders = Objects.requireNonNull(action, "action is null");
    }

    /**
     * Admits the version of a backend server if no unread rollout order can concern it.
     *
     * <p>Entries and orders are watched separately, so the entry of a backend server with a new
     * version may arrive before its rollout order. Admitted too early, the new version would exceed
     * its share of the traffic. An entry written before the position up to which the orders were
     * read cannot belong to a later order.
     *
     * <p>This holds only within one era of the store. During the grace period after a restore,
     * entries and orders may be rewritten in any order; a service that has a version in use admits
     * no other until it ends, and an entry of an earlier era admits none.
     */
    private void admitVersion(final ServerEntry entry) {
        if (!ordersReadUpTo.reaches(entry.position())) {
            return;
        }
        final Canary canary = canary(entry.service());
        if (!inRestoreGrace || !canary.hasVersionInUse()) {
            canary.onVersionWithoutOrder(entry.version());
        }
    }

    /**
     * Returns the backend servers that are eligible for a request now. An ineligible one is left
     * out even if it is the last: it would reject the request, crash, or be stopped before it has
     * responded.
     *
     * @param service the service
     * @param toNew whether the request goes to the new version
     * @return the eligible backend servers; those of the current version if none has the new
     *     version
     */
    List<TrackedServer> candidates(final ServiceName service, final boolean toNew) {
        final Canary canary = canary(service);
        final List<TrackedServer> usable = servers.usable(service);
        final List<TrackedServer> eligible = new ArrayList<>(usable.size());
        boolean anyAdmitted = false;
        for (final TrackedServer server : usable) {
            if (canary.admits(server.entry().version(), toNew)) {
                anyAdmitted = true;
                if (eligibility.isEligible(server)) {
                    eligible.add(server);
                }
            }
        }
        // Sessions stay with the new version while its backend servers are only temporarily
        // ineligible.
        return anyAdmitted || !toNew ? eligible : candidates(service, false);
    }

    /** Counts the ineligible backend servers of a service by reason. */
    Eligibility.Reasons ineligible(final ServiceName service) {
        return eligibility.reasons(servers.usable(service));
    }

    /**
     * Returns the time until the first backend server of a service becomes eligible.
     *
     * @param service the service
     * @return the time, empty if one is eligible now or the time is unknown
     */
    Optional<Duration> timeUntilEligible(final ServiceName service) {
        return servers.usable(service).stream()
                .map(eligibility::wait)
                .flatMap(Optional::stream)
                .min(Comparator.naturalOrder())
                .filter(wait -> !wait.isZero());
    }
}
