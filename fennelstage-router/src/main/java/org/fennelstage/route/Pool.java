package org.fennelstage.route;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.backend.WorkerChoice;
import org.fennelstage.backend.WorkerLoads;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;

/**
 * The backend servers that can take a request, those of the own data centre before all others. Not
 * thread-safe; each event loop has its own.
 */
final class Pool {

    private final Tier near;
    private final Tier far;

    private record Tier(List<BackendServer> servers, WorkerLoads loads, WorkerState[] states) {}

    private Pool(final Tier near, final Tier far) {
        this.near = near;
        this.far = far;
    }

    static Pool of(
            final List<BackendServer> servers, final DataCentreId own, final WorkerTable table) {
        final List<BackendServer> near =
                servers.stream().filter(s -> s.dataCentre().equals(own)).toList();
        final List<BackendServer> far =
                servers.stream().filter(s -> !s.dataCentre().equals(own)).toList();
        return new Pool(tier(near, table), tier(far, table));
    }

    /**
     * Chooses a server.
     *
     * @param choice how
     * @param prefix the hash of the prompt's prefix
     * @param tried servers that failed this request already
     * @return the server, empty if there is none
     */
    Optional<BackendServer> choose(
            final WorkerChoice choice, final long prefix, final Set<BackendServerId> tried) {
        return choose(near, choice, prefix, tried).or(() -> choose(far, choice, prefix, tried));
    }

    /**
     * Returns the least utilisation of any server of the own data centre, by this VM's own
     * requests.
     *
     * @return 0 if one is idle; infinity if there is none
     */
    double leastUtilisation() {
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < near.servers().size(); i++) {
            final int running = near.states()[i].inFlight().get();
            least = Math.min(least, (double) running / near.servers().get(i).slots());
        }
        return least;
    }

    private static Optional<BackendServer> choose(
            final Tier tier,
            final WorkerChoice choice,
            final long prefix,
            final Set<BackendServerId> tried) {
        for (int i = 0; i < tier.servers().size(); i++) {
            final WorkerState state = tier.states()[i];
            final boolean excluded =
                    !state.breaker().isClosed() || tried.contains(tier.servers().get(i).id());
            tier.loads().set(i, state.inFlight().get(), excluded);
        }
        final int chosen = choice.choose(tier.loads(), prefix);
        return chosen == WorkerChoice.NONE
                ? Optional.empty()
                : Optional.of(tier.servers().get(chosen));
    }

    private static Tier tier(final List<BackendServer> servers, final WorkerTable table) {
        final WorkerState[] states =
                servers.stream().map(s -> table.state(s.id())).toArray(WorkerState[]::new);
        return new Tier(servers, WorkerLoads.of(servers), states);
    }
}
