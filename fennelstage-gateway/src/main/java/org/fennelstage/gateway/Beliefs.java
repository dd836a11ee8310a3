package org.fennelstage.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.attempt.RepeatBudget;
import org.fennelstage.canary.Canary;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.ServiceName;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.time.MonotonicClock;

/**
 * What this VM believes of the world: configuration, workers, roll-outs, and the state of its own
 * requests against them.
 *
 * <p>Invariant: the configuration's version never falls. Confined to one event loop.
 */
public final class Beliefs {

    /**
     * VMs among which the fleet's slack of repeats is divided. A VM does not know how many others
     * send repeats at the same moment; a fixed part wastes some slack in a small fleet and
     * over-spends none in one of up to this size.
     */
    private static final int SLACK_PARTS = 16;

    private final MonotonicClock clock;
    private final GatewaySettings settings;
    private final ServerTable servers;
    private final Map<ServiceName, Canary> canaries = new HashMap<>();
    private final Map<ServiceName, RepeatBudget> budgets = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();

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
    }

    public MonotonicClock clock() {
        return clock;
    }

    public ServerTable servers() {
        return servers;
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
     * Returns the roll-out state of a service.
     *
     * @param service the service
     * @return the state
     */
    public Canary canary(final ServiceName service) {
        return canaries.computeIfAbsent(
                service, s -> Canary.of(clock, settings.canaryShare(), settings.session()));
    }

    /**
     * Returns the roll-out states of all services met so far.
     *
     * @return the states
     */
    public Map<ServiceName, Canary> canaries() {
        return canaries;
    }

    RepeatBudget budget(final ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                s ->
                        RepeatBudget.of(
                                clock,
                                settings.repeatWindow(),
                                settings.repeatRatio(),
                                settings.repeatSlack() / SLACK_PARTS));
    }

    /**
     * Takes the versions of all present workers as proven where no version of their service is
     * known yet. To be called once roll-outs and workers have both been listed.
     */
    public void learnBaselines() {
        final Set<ServiceName> unknown = new HashSet<>();
        for (final TrackedServer server : servers.all()) {
            final ServiceName service = server.entry().service();
            if (!canary(service).hasBaseline()) {
                unknown.add(service);
            }
        }
        for (final TrackedServer server : servers.all()) {
            if (unknown.contains(server.entry().service())) {
                canary(server.entry().service()).onBaseline(server.entry().version());
            }
        }
    }

    /**
     * Returns the workers that may get a request.
     *
     * @param service the service
     * @param toNew whether the request goes to the version under roll-out
     * @return the workers; those of the proven version if the new one has none
     */
    List<TrackedServer> candidates(final ServiceName service, final boolean toNew) {
        final Canary canary = canary(service);
        final List<TrackedServer> usable = servers.usable(service);
        final List<TrackedServer> admitted =
                usable.stream().filter(s -> canary.admits(s.entry().version(), toNew)).toList();
        if (admitted.isEmpty() && toNew) {
            return candidates(service, false);
        }
        return admitted;
    }
}
