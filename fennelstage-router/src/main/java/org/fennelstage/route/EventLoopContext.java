package org.fennelstage.route;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.fennelstage.backend.ServerSelector;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.http.HttpClient;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VersionId;

/**
 * The client, random source and server pools shared by the requests of one event loop. Not
 * thread-safe; confined to the event loop.
 */
final class EventLoopContext {

    private final HttpClient client;
    private final DataCentreId dataCentre;
    private final ServerStateTable serverStates;
    private final SplittableRandom random;
    private final ServerSelector serviceSelector;
    private final Map<VersionId, ServerPool> poolsByVersion = new HashMap<>();
    private final Map<ServiceName, ServerPool> poolsByService = new HashMap<>();
    private final Set<Runnable> endings = new LinkedHashSet<>();
    private Configuration cachedConfiguration = Configuration.empty();

    EventLoopContext(
            final HttpClient client,
            final DataCentreId dataCentre,
            final ServerStateTable serverStates,
            final long seed) {
        this.client = client;
        this.dataCentre = dataCentre;
        this.serverStates = serverStates;
        this.random = new SplittableRandom(seed);
        this.serviceSelector = ServerSelector.leastLoad(random.split());
    }

    HttpClient client() {
        return client;
    }

    SplittableRandom random() {
        return random;
    }

    ServerSelector serviceSelector() {
        return serviceSelector;
    }

    ServerPool pool(final Configuration configuration, final VersionId version) {
        refresh(configuration);
        return poolsByVersion.computeIfAbsent(
                version, v -> ServerPool.of(configuration.servers(v), dataCentre, serverStates));
    }

    ServerPool pool(final Configuration configuration, final ServiceName service) {
        refresh(configuration);
        return poolsByService.computeIfAbsent(
                service, s -> ServerPool.of(configuration.servers(s), dataCentre, serverStates));
    }

    /** Records that a request has started, and what ends it before the VM exits. */
    void onStarted(final Runnable ending) {
        endings.add(ending);
    }

    /** Records that the request with an ending has ended. */
    void onEnded(final Runnable ending) {
        endings.remove(ending);
    }

    /** Ends all open requests. */
    void endOpenRequests() {
        List.copyOf(endings).forEach(Runnable::run);
    }

    private void refresh(final Configuration configuration) {
        if (configuration != cachedConfiguration) {
            cachedConfiguration = configuration;
            poolsByVersion.clear();
            poolsByService.clear();
        }
    }
}
