package org.fennelstage.route;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.backend.ServerLoads;
import org.fennelstage.backend.ServerSelector;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;

/**
 * The backend servers of a version or service. Servers of the local data centre are preferred over
 * remote ones. Not thread-safe; each event loop has its own pools.
 */
final class ServerPool {

    private static final int AFFINITY_CANDIDATES = 4;
    private static final int RANDOM_CANDIDATES = 4;

    private final Tier local;
    private final Tier remote;

    private record Tier(List<BackendServer> servers, ServerLoads loads, ServerState[] states) {}

    private ServerPool(final Tier local, final Tier remote) {
        this.local = local;
        this.remote = remote;
    }

    static ServerPool of(
            final List<BackendServer> servers,
            final DataCentreId localDataCentre,
            final ServerStateTable table) {
        final List<BackendServer> local =
                servers.stream().filter(s -> s.dataCentre().equals(localDataCentre)).toList();
        final List<BackendServer> remote =
                servers.stream().filter(s -> !s.dataCentre().equals(localDataCentre)).toList();
        return new ServerPool(tier(local, table), tier(remote, table));
    }

    /**
     * Selects a server.
     *
     * @param selector the selection strategy
     * @param prefixHash the hash of the prompt's prefix
     * @param tried the servers already tried for this request
     * @return the server, empty if none is available
     */
    Optional<BackendServer> choose(
            final ServerSelector selector,
            final long prefixHash,
            final Set<BackendServerId> tried) {
        return choose(local, selector, prefixHash, tried)
                .or(() -> choose(remote, selector, prefixHash, tried));
    }

    /**
     * Returns the candidates for a request in order of preference: the servers with the highest
     * affinity to the prefix, followed by randomly chosen ones, because a popular prefix can fill
     * all of the former.
     *
     * @param prefixHash the hash of the prompt's prefix
     * @param tried the servers already tried for this request
     * @param random the random source
     * @return the servers; those of remote data centres only if none is available locally
     */
    List<BackendServer> candidates(
            final long prefixHash, final Set<BackendServerId> tried, final RandomGenerator random) {
        final List<BackendServer> found = candidates(local, prefixHash, tried, random);
        return found.isEmpty() ? candidates(remote, prefixHash, tried, random) : found;
    }

    private static List<BackendServer> candidates(
            final Tier tier,
            final long prefixHash,
            final Set<BackendServerId> tried,
            final RandomGenerator random) {
        updateLoads(tier, tried);
        final int[] byAffinity = new int[Math.min(AFFINITY_CANDIDATES, tier.servers().size())];
        ServerSelector.firstByAffinity(tier.loads(), prefixHash, byAffinity);
        final Set<BackendServer> found = new LinkedHashSet<>();
        for (final int index : byAffinity) {
            if (index != ServerSelector.NONE) {
                found.add(tier.servers().get(index));
            }
        }
        for (int i = 0; i < RANDOM_CANDIDATES && !tier.servers().isEmpty(); i++) {
            final int index = random.nextInt(tier.servers().size());
            if (!tier.loads().isExcluded(index)) {
                found.add(tier.servers().get(index));
            }
        }
        return List.copyOf(found);
    }

    private static Optional<BackendServer> choose(
            final Tier tier,
            final ServerSelector selector,
            final long prefixHash,
            final Set<BackendServerId> tried) {
        updateLoads(tier, tried);
        final int chosen = selector.choose(tier.loads(), prefixHash);
        return chosen == ServerSelector.NONE
                ? Optional.empty()
                : Optional.of(tier.servers().get(chosen));
    }

    private static void updateLoads(final Tier tier, final Set<BackendServerId> tried) {
        for (int i = 0; i < tier.servers().size(); i++) {
            final ServerState state = tier.states()[i];
            final boolean excluded =
                    !state.breaker().allowsRequest() || tried.contains(tier.servers().get(i).id());
            tier.loads().set(i, state.inFlight().get(), excluded);
        }
    }

    private static Tier tier(final List<BackendServer> servers, final ServerStateTable table) {
        final ServerState[] states =
                servers.stream().map(s -> table.state(s.id())).toArray(ServerState[]::new);
        return new Tier(servers, ServerLoads.of(servers), states);
    }
}
