package org.fennelstage.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.member.Rendezvous;

/**
 * Chooses the backend server where a request is expected to begin first.
 *
 * <p>The expected wait is the time to read the prompts that all VMs have sent there before (see
 * {@link LoadBoard}), the time until a slot is free, and the time to read the request's own prompt,
 * less what a cached shared prompt part saves. Which backend servers likely have a part cached
 * follows from rendezvous hashing of the part, so all VMs agree without messages. A part in high
 * demand spreads over more servers as the wait at the first ones grows.
 *
 * <p>Without the unread prompts of other VMs, short prompts would wait behind long ones that those
 * had sent to the same backend server.
 *
 * <p>Only a few backend servers are compared for each request: those that likely have the shared
 * part cached, and some chosen at random. Requests without a prompt end before the next load
 * reports arrive, so their backend server is drawn at random with the probabilities of {@link
 * LoadLevelling}.
 *
 * <p>Invariant: a backend server of a worse {@link ServerHealth.Tier} is chosen only if there is
 * none of a better one, and one that is not usable only if there is no usable one at all. Not
 * thread-safe.
 */
public final class Placement {

    /**
     * Factors on the saved time at the backend servers with the highest and second highest weight;
     * the second gets what is too much for the first. Above one, because reading a prompt also
     * delays other requests there and costs money.
     */
    private static final double[] CACHE_FACTORS = {6, 3};

    /**
     * Number of backend servers chosen at random for the comparison. The load of other VMs is known
     * with a delay, so comparing all would make every VM select the same idle server.
     */
    private static final int RANDOM_CANDIDATES = 3;

    /** Cost of another data centre, in running requests: network latency and paid traffic. */
    private static final double OTHER_DATA_CENTRE_REQUESTS = 0.5;

    /** Random cost in the same unit, so that VMs with equal reports choose different servers. */
    private static final double JITTER_REQUESTS = 0.25;

    private final DataCentreId own;
    private final RandomGenerator random;
    private final LoadBoard board;

    private Placement(final DataCentreId own, final RandomGenerator random, final LoadBoard board) {
        this.own = own;
        this.random = random;
        this.board = board;
    }

    /**
     * Returns the placement of one VM.
     *
     * @param own the VM's data centre
     * @param random breaks ties
     * @param board the load of the other VMs
     * @return the placement
     */
    public static Placement of(
            final DataCentreId own, final RandomGenerator random, final LoadBoard board) {
        return new Placement(
                Objects.requireNonNull(own, "own is null"),
                Objects.requireNonNull(random, "random is null"),
                Objects.requireNonNull(board, "board is null"));
    }

    /**
     * Chooses a backend server.
     *
     * @param candidates the backend servers that may get the request
     * @param job the request
     * @param mayProbe whether the request may probe a backend server that was unreachable
     * @param excluded backend servers to avoid, used only if no other usable one is left
     * @return the backend server, empty if there is no candidate
     */
    public Optional<TrackedServer> choose(
            final List<TrackedServer> candidates,
            final Job job,
            final boolean mayProbe,
            final Predicate<TrackedServer> excluded) {
        if (mayProbe) {
            final Optional<TrackedServer> probed = probe(candidates, excluded);
            if (probed.isPresent()) {
                return probed;
            }
        }
        final List<TrackedServer> best = bestTier(candidates, excluded);
        if (best.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(job.prompt().isEmpty() ? draw(best, job) : shortestWait(best, job));
    }

    private TrackedServer draw(final List<TrackedServer> servers, final Job job) {
        final double[] loads = new double[servers.size()];
        final double[] capacities = new double[servers.size()];
        double running = 0;
        for (int i = 0; i < loads.length; i++) {
            final TrackedServer server = servers.get(i);
            final int requests = load(server).running();
            running += requests;
            loads[i] = requests + tieBreakRequests(server);
            capacities[i] = Math.max(1, server.entry().capacity()) / server.slowness();
        }
        final double arrivals = running * board.ageMillis() / Math.max(1, job.responseMillis());
        return servers.get(draw(LoadLevelling.shares(loads, capacities, arrivals)));
    }

    private int draw(final double[] shares) {
        double rest = random.nextDouble();
        int drawn = 0;
        while (drawn < shares.length - 1 && rest >= shares[drawn]) {
            rest -= shares[drawn];
            drawn++;
        }
        return drawn;
    }

    private static Optional<TrackedServer> probe(
            final List<TrackedServer> candidates, final Predicate<TrackedServer> excluded) {
        final Optional<TrackedServer> due =
                candidates.stream()
                        .filter(s -> s.health().probeDue() && !excluded.test(s))
                        .findFirst();
        due.ifPresent(s -> s.health().onProbe());
        return due;
    }

    private static List<TrackedServer> bestTier(
            final List<TrackedServer> candidates, final Predicate<TrackedServer> excluded) {
        final List<TrackedServer> best = new ArrayList<>();
        int bestRank = Integer.MAX_VALUE;
        for (final TrackedServer candidate : candidates) {
            final int rank = rank(candidate.health().tier(), excluded.test(candidate));
            if (rank < bestRank) {
                best.clear();
                bestRank = rank;
            }
            if (rank == bestRank) {
                best.add(candidate);
            }
        }
        return best;
    }

    /**
     * Returns the rank of a backend server, the lowest is chosen: usable ones, excluded usable
     * ones, others, excluded others. A request is rather rejected for want of room at an excluded
     * server than lost at one that fails.
     */
    private static int rank(final ServerHealth.Tier tier, final boolean excluded) {
        final int group = (tier.isUsable() ? 0 : 2) + (excluded ? 1 : 0);
        return group * ServerHealth.Tier.values().length + tier.ordinal();
    }

    private TrackedServer shortestWait(final List<TrackedServer> servers, final Job job) {
        final List<TrackedServer> cached = likelyCached(servers, job);
        final Set<TrackedServer> compared = new LinkedHashSet<>(cached);
        final int first = random.nextInt(servers.size());
        for (int i = 0; i < Math.min(RANDOM_CANDIDATES, servers.size()); i++) {
            compared.add(servers.get((first + i) % servers.size()));
        }
        TrackedServer chosen = servers.get(first);
        double shortest = Double.MAX_VALUE;
        for (final TrackedServer server : compared) {
            // Divided, so that a slow server does not attract all requests that share a part. Not
            // multiplied at a fast one, which would attract them instead.
            final double saved =
                    saved(cached.indexOf(server), job) / Math.max(1, server.slowness());
            final double wait = waitMillis(server, job) - saved + tieBreak(server, job);
            if (wait < shortest) {
                shortest = wait;
                chosen = server;
            }
        }
        return chosen;
    }

    /**
     * Returns the expected wait of a request for its first byte if no part of its prompt is cached.
     *
     * @param server the backend server
     * @param job the request
     * @return milliseconds
     */
    public double waitMillis(final TrackedServer server, final Job job) {
        final Load load = load(server);
        final int capacity = Math.max(1, server.entry().capacity());
        final double usualMillis =
                load.unreadMillis()
                        + requestsAhead(load, capacity) * job.responseMillis() / capacity
                        + load.running() * job.delayPerRequestMillis()
                        + job.readMillis();
        return usualMillis * server.slowness();
    }

    /**
     * Returns the shortest expected wait at any backend server that may get the request if all
     * slots are taken.
     *
     * <p>While a slot is free there is no estimate: the time to read a prompt is overestimated by a
     * VM that has just started or is slow itself, and requests would be rejected without need.
     *
     * @param candidates the backend servers that may get the request
     * @param job the request
     * @return milliseconds, empty if a slot is free or no backend server is reachable
     */
    public OptionalDouble minWaitMillis(final List<TrackedServer> candidates, final Job job) {
        double min = Double.MAX_VALUE;
        final boolean anyUsable =
                candidates.stream().anyMatch(server -> server.health().tier().isUsable());
        for (final TrackedServer server : candidates) {
            if (!mayServe(server.health().tier(), anyUsable)) {
                continue;
            }
            if (hasFreeSlot(server)) {
                return OptionalDouble.empty();
            }
            min = Math.min(min, waitMillis(server, job) - job.sharedMillis() * server.slowness());
        }
        return min == Double.MAX_VALUE ? OptionalDouble.empty() : OptionalDouble.of(min);
    }

    private static boolean mayServe(final ServerHealth.Tier tier, final boolean anyUsable) {
        return tier.isUsable() || (!anyUsable && tier == ServerHealth.Tier.FAILING);
    }

    /**
     * Returns whether a backend server has a free slot, as far as this VM knows.
     *
     * @param server the backend server
     * @return false if the known requests of all VMs occupy all slots
     */
    public boolean hasFreeSlot(final TrackedServer server) {
        return running(server) < server.entry().capacity();
    }

    /**
     * Returns the number of requests at a backend server, as far as this VM knows.
     *
     * @param server the backend server
     * @return the known requests of all VMs
     */
    int running(final TrackedServer server) {
        return load(server).running();
    }

    /**
     * Returns how many requests have to end before a request can start.
     *
     * @param server the backend server
     * @return the count, 0 if a slot is free
     */
    public int requestsAhead(final TrackedServer server) {
        return requestsAhead(load(server), Math.max(1, server.entry().capacity()));
    }

    private static int requestsAhead(final Load load, final int capacity) {
        return Math.max(0, load.running() + 1 - capacity);
    }

    private Load load(final TrackedServer server) {
        return server.load().plus(board.others(server.entry().id()));
    }

    private double tieBreak(final TrackedServer server, final Job job) {
        return tieBreakRequests(server) * job.delayPerRequestMillis();
    }

    private double tieBreakRequests(final TrackedServer server) {
        final boolean near = server.entry().dataCentre().equals(own);
        return (near ? 0 : OTHER_DATA_CENTRE_REQUESTS) + random.nextDouble() * JITTER_REQUESTS;
    }

    private static double saved(final int rank, final Job job) {
        return rank < 0 ? 0 : CACHE_FACTORS[rank] * job.sharedMillis();
    }

    /** Returns the backend servers that likely have the shared part cached, likeliest first. */
    private static List<TrackedServer> likelyCached(
            final List<TrackedServer> servers, final Job job) {
        return job.affinity()
                .map(part -> heaviest(servers, Rendezvous.hash(part), CACHE_FACTORS.length))
                .orElse(List.of());
    }

    /**
     * Returns the backend servers of the highest weights for a key, heaviest first.
     *
     * @param servers the backend servers
     * @param keyHash the hash of the key
     * @param count the largest number to return
     * @return the backend servers, the same and in the same order at all VMs that know them
     */
    static List<TrackedServer> heaviest(
            final List<TrackedServer> servers, final long keyHash, final int count) {
        final List<TrackedServer> ranked = new ArrayList<>(count);
        for (int i = 0; i < Math.min(count, servers.size()); i++) {
            ranked.add(heaviest(servers, keyHash, ranked));
        }
        return ranked;
    }

    /** Returns the one of the highest weight that is not excluded; at least one must not be. */
    private static TrackedServer heaviest(
            final List<TrackedServer> servers,
            final long keyHash,
            final List<TrackedServer> excluded) {
        TrackedServer heaviest = null;
        long highest = Long.MIN_VALUE;
        for (final TrackedServer server : servers) {
            final long weight = Rendezvous.weight(keyHash, server.idHash());
            if ((heaviest == null || weight > highest) && !excluded.contains(server)) {
                heaviest = server;
                highest = weight;
            }
        }
        return heaviest;
    }
}
