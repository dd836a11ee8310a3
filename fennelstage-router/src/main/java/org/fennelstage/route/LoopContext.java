package org.fennelstage.route;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.fennelstage.backend.ServerSelector;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.http.HttpClient;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VersionId;

/** What the requests of one event loop share. Confined to that loop. */
final class LoopContext {

    private final HttpClient client;
    private final DataCentreId dataCentre;
    private final WorkerTable workers;
    private final SplittableRandom random;
    private final ServerSelector forServices;
    private final Map<VersionId, Pool> byVersion = new HashMap<>();
    private final Map<ServiceName, Pool> byService = new HashMap<>();
    private Configuration current = Configuration.empty();

    LoopContext(
            final HttpClient client,
            final DataCentreId dataCentre,
            final WorkerTable workers,
            final long seed) {
        this.client = client;
        this.dataCentre = dataCentre;
        this.workers = workers;
        this.random = new SplittableRandom(seed);
        this.forServices = ServerSelector.leastLoad(random.split());
    }

    HttpClient client() {
        return client;
    }

    SplittableRandom random() {
        return random;
    }

    ServerSelector forServices() {
        return forServices;
    }

    Pool pool(final Configuration configuration, final VersionId version) {
        refresh(configuration);
        return byVersion.computeIfAbsent(
                version, v -> Pool.of(configuration.servers(v), dataCentre, workers));
    }

    Pool pool(final Configuration configuration, final ServiceName service) {
        refresh(configuration);
        return byService.computeIfAbsent(
                service, s -> Pool.of(configuration.servers(s), dataCentre, workers));
    }

    private void refresh(final Configuration configuration) {
        if (configuration != current) {
            current = configuration;
            byVersion.clear();
            byService.clear();
        }
    }
}
