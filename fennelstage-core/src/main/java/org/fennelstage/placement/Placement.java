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
 * Chooses the worker of a request: the one where it is expected to begin first.
 *
 * <p>The expected wait is the time to read the prompts that were sent before and are not read yet,
 * by all VMs as far as they say ({@link LoadBoard}); the time until a place is free, where all are
 * taken; and the time to read the own prompt, less what is saved where the worker has the shared
 * part in memory. All VMs agree without a word which worker that is: the one with the highest
 * random weight of the part. So a part that everybody asks for spreads over as many workers as its
 * load needs, and no further.
 *
 * <p>Answers the load of long prompts beside short ones, which would wait behind those that other
 * VMs had sent to the same worker.
 *
 * <p>Few workers are compared for each request: those that likely hold the shared part, and some
 * drawn at random.
 *
 * <p>Law: a worker of a worse {@link ServerHealth.Tier} is chosen only if there is none of a better
 * one. Not thread-safe, as its random source.
 */
public final class Placement {

    /**
     * How often the saved time counts at the worker of the highest weight, and at the second, which
     * gets what is too much for the first. More than once, since others gain as well: while a
     * prompt is read all that run there wait, and what is read again is paid for.
     */
    private static final double[] MEMORY_WORTH = {6, 3};

    /**
     * Workers that are compared beside those that likely hold the shared part, drawn anew for each
     * request. What other VMs have is known with a delay: if all compared all workers, the one that
     * was idle a moment ago would get the next request of each VM.
     */
    private static final int DRAWN = 3;

    /**
     * What another data centre costs, in requests that run beside this one: the way there and back,
     * and bytes that are paid for.
     */
    private static final double AWAY_NEIGHBOURS = 0.5;

    /**
     * Ties are broken by as much, in the same unit, so that VMs with the same news do not all turn
     * to one worker.
     */
    private static final double JITTER_NEIGHBOURS = 0.25;

    private final DataCentreId own;
    private final RandomGenerator random;
    private final LoadBoard board;

    private Placement(final DataCentreId own, final RandomGenerator random, final LoadBoard board) {
        this.own = own;
        this.random = random;
        this.board = board;
    }

    /**
     * Returns a placement for one VM.
     *
     * @param own the VM's data centre
     * @param random breaks ties
     * @param board what the other VMs have at the workers
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
     * Chooses a worker.
     *
     * @param candidates the workers that may get the request
     * @param job what the request asks of a worker
     * @param mayProbe whether the request may try a worker that could not be reached lately
     * @param excluded workers to avoid, used only if no other is left
     * @return the worker, empty if there is no candidate
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
        return Optional.of(soonest(best, job));
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
            final int tier = candidate.health().tier().ordinal();
            final int rank = excluded.test(candidate) ? tier + Integer.MAX_VALUE / 2 : tier;
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

    private TrackedServer soonest(final List<TrackedServer> servers, final Job job) {
        final List<TrackedServer> inMemory = likelyInMemory(servers, job);
        final Set<TrackedServer> compared = new LinkedHashSet<>(inMemory);
        final int first = random.nextInt(servers.size());
        for (int i = 0; i < Math.min(DRAWN, servers.size()); i++) {
            compared.add(servers.get((first + i) % servers.size()));
        }
        TrackedServer chosen = servers.get(first);
        double least = Double.MAX_VALUE;
        for (final TrackedServer server : compared) {
            final double saved = saved(inMemory.indexOf(server), job);
            final double wait = waitMillis(server, job) - saved + tieBreak(server, job);
            if (wait < least) {
                least = wait;
                chosen = server;
            }
        }
        return chosen;
    }

    /**
     * Returns how long a request would wait for its first byte at a worker, if nothing of its
     * prompt is in memory.
     *
     * @param server the worker
     * @param job the request
     * @return milliseconds
     */
    public double waitMillis(final TrackedServer server, final Job job) {
        final Load load = server.load().plus(board.others(server.entry().id()));
        final int capacity = Math.max(1, server.entry().capacity());
        final int ahead = Math.max(0, load.running() + 1 - capacity);
        return load.unreadMillis()
                + ahead * job.answerMillis() / capacity
                + load.running() * job.neighbourMillis(capacity)
                + job.readMillis();
    }

    /**
     * Returns the shortest time in which any worker can begin to answer, if all places are taken.
     *
     * <p>While a place is free nothing is said: how long a prompt takes to read is an estimate, and
     * a VM that just started, or is slow itself, takes its own delays for the workers'.
     *
     * @param candidates the workers that may get the request
     * @param job the request
     * @return milliseconds, empty if a place is free or no worker can be reached
     */
    public OptionalDouble minWaitMillis(final List<TrackedServer> candidates, final Job job) {
        double least = Double.MAX_VALUE;
        for (final TrackedServer server : candidates) {
            if (server.health().tier() == ServerHealth.Tier.UNREACHABLE) {
                continue;
            }
            if (hasFreePlace(server)) {
                return OptionalDouble.empty();
            }
            least = Math.min(least, waitMillis(server, job) - job.sharedMillis());
        }
        return least == Double.MAX_VALUE ? OptionalDouble.empty() : OptionalDouble.of(least);
    }

    private boolean hasFreePlace(final TrackedServer server) {
        final Load load = server.load().plus(board.others(server.entry().id()));
        return load.running() < server.entry().capacity();
    }

    private double tieBreak(final TrackedServer server, final Job job) {
        final boolean near = server.entry().dataCentre().equals(own);
        final double neighbours =
                (near ? 0 : AWAY_NEIGHBOURS) + random.nextDouble() * JITTER_NEIGHBOURS;
        return neighbours * job.neighbourMillis(Math.max(1, server.entry().capacity()));
    }

    private static double saved(final int rank, final Job job) {
        return rank < 0 ? 0 : MEMORY_WORTH[rank] * job.sharedMillis();
    }

    /** The workers that likely hold the shared part, the likeliest first. */
    private static List<TrackedServer> likelyInMemory(
            final List<TrackedServer> servers, final Job job) {
        if (job.affinity().isEmpty()) {
            return List.of();
        }
        final long part = Rendezvous.hash(job.affinity().get());
        final List<TrackedServer> ranked = new ArrayList<>(MEMORY_WORTH.length);
        for (int i = 0; i < Math.min(MEMORY_WORTH.length, servers.size()); i++) {
            ranked.add(heaviest(servers, part, ranked));
        }
        return ranked;
    }

    /** Returns the worker of the highest weight that is not among some; one at least is not. */
    private static TrackedServer heaviest(
            final List<TrackedServer> servers, final long part, final List<TrackedServer> without) {
        TrackedServer heaviest = null;
        long most = Long.MIN_VALUE;
        for (final TrackedServer server : servers) {
            final long weight = Rendezvous.weight(part, server.idHash());
            if ((heaviest == null || weight > most) && !without.contains(server)) {
                heaviest = server;
                most = weight;
            }
        }
        return heaviest;
    }
}
