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
import org.fennelstage.fleet.ConnectionShare;
import org.fennelstage.fleet.Eligibility;
import org.fennelstage.fleet.Evacuations;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.fleet.WarmUpShares;
import org.fennelstage.history.Position;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.serving.Service;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.serving.WarmUp;
import org.fennelstage.sizing.ConfidenceGains;
import org.fennelstage.time.MonotonicClock;

/**
 * What this VM believes of the world: configuration, workers, roll-outs, and the state of its own
 * requests against them.
 *
 * <p>Invariant: the configuration's version never falls. Confined to one event loop.
 */
public final class Beliefs {

    /**
     * VMs among which the fleet's slack of repeats is divided at least. A VM that just started does
     * not know yet how many others there are; in a small fleet a fixed part wastes some slack.
     */
    private static final int LEAST_SLACK_PARTS = 16;

    /**
     * How long operators and workers may take to write again what a store lost that came back from
     * an older copy; milliseconds. Workers take about two seconds; as much again for operators, who
     * see it by their own calls.
     */
    public static final long REWRITE_MILLIS = 4_000;

    private final MonotonicClock clock;
    private GatewaySettings settings;
    private final ServerTable servers;
    private final Evacuations evacuations;
    private final WarmUpShares warmUpShares = WarmUpShares.empty();
    private final Eligibility eligibility;
    private final Map<ServiceName, Canary> canaries = new HashMap<>();
    private final Map<ServiceName, WindowedRetryBudget> budgets = new HashMap<>();
    private final Map<String, BaselineFailureRate> usualFailures = new HashMap<>();
    private final Map<String, LatencyEstimator> paces = new HashMap<>();
    private final Map<String, ConfidenceGains> opinions = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private int vmCount;
    private Position ordersKnownTo = Position.NONE;
    private boolean settling;
    private long settledAtMillis;
    private Runnable ordersWanted = () -> {};

    /**
     * Creates the beliefs of a VM that knows nothing.
     *
     * @param clock the clock
     * @param settings the deployment's bounds
     */
    public Beliefs(final MonotonicClock clock, final GatewaySettings settings) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.servers = ServerTable.of(clock);
        this.evacuations = Evacuations.empty(clock);
        this.eligibility =
                new Eligibility(
                        evacuations, warmUpShares, this::warmUp, this.servers::isStoreUnavailable);
    }

    public MonotonicClock clock() {
        return clock;
    }

    public ServerTable servers() {
        return servers;
    }

    public Evacuations evacuations() {
        return evacuations;
    }

    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    /**
     * Takes a configuration if it is newer than the present one.
     *
     * @param newer the configuration
     * @return whether it is in force now
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
     * Puts new bounds into force for services that are met from now on, and for budgets at once.
     *
     * @param newer the bounds
     */
    public void apply(final GatewaySettings newer) {
        if (!newer.equals(settings)) {
            settings = newer;
            budgets.clear();
        }
    }

    /**
     * Returns the roll-out state of a service.
     *
     * @param service the service
     * @return the state
     */
    public Canary canary(final ServiceName service) {
        return canaries.computeIfAbsent(service, s -> Canary.of(clock, settings.canaryShare()));
    }

    /**
     * Returns the roll-out states of all services met so far.
     *
     * @return the states
     */
    public Map<ServiceName, Canary> canaries() {
        return canaries;
    }

    /** Returns the pace of a service's workers with one model. */
    LatencyEstimator pace(final ServiceName service, final Optional<ModelId> model) {
        final String key = service + "/" + model.map(ModelId::value).orElse("");
        return paces.computeIfAbsent(key, k -> new LatencyEstimator());
    }

    /** Returns what models' opinions tell on a route; requests of a kind are alike. */
    ConfidenceGains opinions(final String route) {
        return opinions.computeIfAbsent(route, r -> ConfidenceGains.empty());
    }

    private double ownSlack() {
        return settings.repeatSlack() / Math.max(LEAST_SLACK_PARTS, vmCount);
    }

    /**
     * Notes how many VMs have entered themselves into the store, gone ones included.
     *
     * @param count the count
     */
    public void onVmCount(final int count) {
        vmCount = count;
    }

    /**
     * Notes which VMs there are, once that is known.
     *
     * @param own this VM
     * @param others all others, gone ones included
     */
    public void onVms(final VmId own, final Set<VmId> others) {
        warmUpShares.onVms(own, others);
    }

    /** Returns this VM's share of the connections that each worker of a service accepts. */
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
     * Notes that operators have taken a data centre back.
     *
     * @param dataCentre the data centre
     */
    public void onTakenBack(final DataCentreId dataCentre) {
        servers.all().stream()
                .filter(server -> server.entry().dataCentre().equals(dataCentre))
                .forEach(eligibility::onEvacuationEnded);
    }

    /** Returns the share of a route's requests that fail wherever they run. */
    BaselineFailureRate usualFailures(final String route) {
        return usualFailures.computeIfAbsent(route, r -> new BaselineFailureRate());
    }

    WindowedRetryBudget budget(final ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                s ->
                        WindowedRetryBudget.of(
                                clock,
                                settings.repeatWindow(),
                                settings.repeatRatio(),
                                this::ownSlack));
    }

    /**
     * Notes up to which position all orders to roll versions out are known.
     *
     * @param position the position
     */
    public void onOrdersKnownTo(final Position position) {
        ordersKnownTo = position.isAfter(ordersKnownTo) ? position : ordersKnownTo;
        admitVersions();
    }

    /**
     * Takes the store at its word again, once operators and workers have had the time to write
     * again what it lost by coming back from an older copy. To be called a few times a second.
     */
    public void settle() {
        if (settling && clock.millis() >= settledAtMillis) {
            settling = false;
            canaries.values().forEach(Canary::onStoreSettled);
            admitVersions();
            ordersWanted.run();
        }
    }

    private void admitVersions() {
        servers.all().forEach(server -> admitVersion(server.entry()));
    }

    /** Notes that the store has come back from an older copy. */
    public void onStoreReplaced() {
        servers.onStoreRestored();
        canaries.values().forEach(Canary::onStoreRestored);
        settling = true;
        settledAtMillis = clock.millis() + REWRITE_MILLIS;
    }

    /**
     * Takes a worker's entry.
     *
     * @param entry the entry
     * @return false if it speaks of an incarnation that has ended, and was passed over
     */
    public boolean onServer(final ServerEntry entry) {
        if (!servers.put(entry)) {
            return false;
        }
        onVersionOf(entry);
        return true;
    }

    /**
     * Takes a complete list of the workers' entries.
     *
     * @param entries all of them
     */
    public void onAllServers(final Collection<ServerEntry> entries) {
        servers.replaceAll(entries);
        servers.all().forEach(server -> onVersionOf(server.entry()));
    }

    private void onVersionOf(final ServerEntry entry) {
        admitVersion(entry);
        final boolean waits = !canary(entry.service()).knows(entry.version());
        if (waits && !ordersKnownTo.equals(Position.NONE)) {
            ordersWanted.run();
        }
    }

    /**
     * Sets what asks for the present state of all orders. It runs when the version of a worker can
     * be judged only by them.
     *
     * @param action asks for them
     */
    public void onOrdersWanted(final Runnable action) {
        ordersWanted = Objects.requireNonNull(action, "action is null");
    }

    /**
     * Admits the version of a worker if no order can speak of it that is not known here.
     *
     * <p>Workers of a new version enter after the order to roll it out. Their entries may be heard
     * of first, since each kind of object has a watch of its own; taken for a version in use, the
     * new one would get traffic that nobody counts against its share. An entry written before the
     * last known state of the orders cannot belong to a later one.
     *
     * <p>That holds within one era of the store. After its return from an older copy, workers of a
     * new version may write again before the operator does, in any order; so where a version is in
     * use already, no other is admitted for a while, and never by the word of a former era.
     */
    private void admitVersion(final ServerEntry entry) {
        if (!ordersKnownTo.reaches(entry.position())) {
            return;
        }
        final Canary canary = canary(entry.service());
        if (!settling || !canary.hasVersionInUse()) {
            canary.onVersionWithoutOrder(entry.version());
        }
    }

    /**
     * Returns the workers that may get a request now. One that may not is not among them even if it
     * is the last: it would turn the request away, crash under it, or be switched off before it has
     * answered.
     *
     * @param service the service
     * @param toNew whether the request goes to the version under roll-out
     * @return the workers; those of the proven version if the new one has none
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
        // Workers of a new version that may get nothing for a moment must not send sessions back to
        // the old one.
        return anyAdmitted || !toNew ? eligible : candidates(service, false);
    }

    /** Counts the workers of a service that may get no request now, by the reason for it. */
    Eligibility.Reasons ineligible(final ServiceName service) {
        return eligibility.reasons(servers.usable(service));
    }

    /**
     * Returns when the first worker may get requests again, if those of a service may get none now.
     *
     * @param service the service
     * @return the time until then, empty if one may, or if nobody knows
     */
    Optional<Duration> soonestEligible(final ServiceName service) {
        return servers.usable(service).stream()
                .map(eligibility::wait)
                .flatMap(Optional::stream)
                .min(Comparator.naturalOrder())
                .filter(wait -> !wait.isZero());
    }
}
