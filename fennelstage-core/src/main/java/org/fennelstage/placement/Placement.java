package org.fennelstage.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.member.Rendezvous;

/**
 * Chooses the worker of a request.
 *
 * <p>Requests with a long shared part go to the worker on which all VMs agree without a word
 * (highest random weight of the part), since that one likely has the part in memory. Its load is
 * bounded: a worker with clearly more work than the average of this VM passes the request on to the
 * next in rank, so that a part that everybody asks for does not bury one worker. Everything else
 * goes to the worker with the fewest requests of this VM, in the own data centre where that costs
 * no wait.
 *
 * <p>Law: a worker of a worse {@link ServerHealth.Tier} is chosen only if there is none of a better
 * one. Not thread-safe, as its random source.
 */
public final class Placement {

    /**
     * Work beyond the average that a worker may have and still be chosen for its memory. The field
     * uses 1.25 to 2; at this size an average is over few requests, which needs room.
     */
    private static final double BOUND = 1.5;

    private final DataCentreId own;
    private final RandomGenerator random;

    private Placement(final DataCentreId own, final RandomGenerator random) {
        this.own = own;
        this.random = random;
    }

    /**
     * Returns a placement for one VM.
     *
     * @param own the VM's data centre
     * @param random breaks ties
     * @return the placement
     */
    public static Placement of(final DataCentreId own, final RandomGenerator random) {
        return new Placement(
                Objects.requireNonNull(own, "own is null"),
                Objects.requireNonNull(random, "random is null"));
    }

    /**
     * Chooses a worker.
     *
     * @param candidates the workers that may get the request
     * @param prompt what it asks of an engine, empty for a plain service
     * @param mayProbe whether the request may try a worker that could not be reached lately
     * @param excluded workers to avoid, used only if no other is left
     * @return the worker, empty if there is no candidate
     */
    public Optional<TrackedServer> choose(
            final List<TrackedServer> candidates,
            final Optional<Prompt> prompt,
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
        final Optional<PromptPart> shared = prompt.flatMap(Prompt::lastShared);
        return shared.isPresent()
                ? byMemory(best, shared.get(), prompt.get().workTokens())
                : byLoad(best);
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

    private static Optional<TrackedServer> byMemory(
            final List<TrackedServer> servers, final PromptPart part, final long work) {
        final long total = servers.stream().mapToLong(TrackedServer::workTokens).sum();
        final double bound = BOUND * (total + work) / servers.size() + work;
        final Comparator<TrackedServer> rank =
                Comparator.comparingLong(s -> Rendezvous.weight(part.id(), s.entry().id().value()));
        return servers.stream()
                .filter(s -> s.workTokens() + work <= bound)
                .max(rank)
                .or(() -> servers.stream().min(byWork()));
    }

    private Optional<TrackedServer> byLoad(final List<TrackedServer> servers) {
        TrackedServer chosen = null;
        double least = Double.MAX_VALUE;
        for (final TrackedServer server : servers) {
            final double local = server.entry().dataCentre().equals(own) ? 0 : 0.5;
            final double load = server.running() + local + random.nextDouble() / 4;
            if (load < least) {
                least = load;
                chosen = server;
            }
        }
        return Optional.ofNullable(chosen);
    }

    private static Comparator<TrackedServer> byWork() {
        return Comparator.comparingLong(TrackedServer::workTokens);
    }
}
