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
 * The backend servers that can take a request, those of the own data centre before all others. Not
 * thread-safe; each event loop has its own.
 */
final class Pool {

    /** Found by the experiment in docs/measurements/workers.md. */
    private static final int AFFINE = 4;

    private static final int BY_CHANCE = 4;

    private final Tier near;
    private final Tier far;

    private record Tier(List<BackendServer> servers, ServerLoads loads, WorkerState[] states) {}

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
            final ServerSelector choice, final long prefix, final Set<BackendServerId> tried) {
        return choose(near, choice, prefix, tried).or(() -> choose(far, choice, prefix, tried));
    }

    /**
     * Returns the servers to ask for a slot, in turn: those with the highest affinity to the
     * prefix, then some by chance, for a popular prefix can fill all of the former.
     *
     * @param prefix the hash of the prompt's prefix
     * @param tried servers that failed this request already
     * @param random the source of chance
     * @return the servers; of other data centres only if this one has none
     */
    List<BackendServer> candidates(
            final long prefix, final Set<BackendServerId> tried, final RandomGenerator random) {
        final List<BackendServer> found = candidates(near, prefix, tried, random);
        return found.isEmpty() ? candidates(far, prefix, tried, random) : found;
    }

    private static List<BackendServer> candidates(
            final Tier tier,
            final long prefix,
            final Set<BackendServerId> tried,
            final RandomGenerator random) {
        exclude(tier, tried);
        final int[] best = new int[Math.min(AFFINE, tier.servers().size())];
        ServerSelector.firstByAffinity(tier.loads(), prefix, best);
        final Set<BackendServer> found = new LinkedHashSet<>();
        for (final int index : best) {
            if (index != ServerSelector.NONE) {
                found.add(tier.servers().get(index));
            }
        }
        for (int i = 0; i < BY_CHANCE && !tier.servers().isEmpty(); i++) {
            final int index = random.nextInt(tier.servers().size());
            if (!tier.loads().isExcluded(index)) {
                found.add(tier.servers().get(index));
            }
        }
        return List.copyOf(found);
    }

    private static Optional<BackendServer> choose(
            final Tier tier,
            final ServerSelector choice,
            final long prefix,
            final Set<BackendServerId> tried) {
        exclude(tier, tried);
        final int chosen = choice.choose(tier.loads(), prefix);
        return chosen == ServerSelector.NONE
                ? Optional.empty()
                : Optional.of(tier.servers().get(chosen));
    }

    private static void exclude(final Tier tier, final Set<BackendServerId> tried) {
        for (int i = 0; i < tier.servers().size(); i++) {
            final WorkerState state = tier.states()[i];
            final boolean excluded =
                    !state.breaker().isClosed() || tried.contains(tier.servers().get(i).id());
            tier.loads().set(i, state.inFlight().get(), excluded);
        }
    }

    private static Tier tier(final List<BackendServer> servers, final WorkerTable table) {
        final WorkerState[] states =
                servers.stream().map(s -> table.state(s.id())).toArray(WorkerState[]::new);
        return new Tier(servers, ServerLoads.of(servers), states);
    }
}
