package org.fennelstage.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.fennelstage.id.ServiceName;
import org.fennelstage.serving.WarmUp;

/**
 * Whether a worker may get a request now, and when it may again.
 *
 * <p>A worker may not while its data centre is being evacuated, while it wants nothing from this
 * VM, and while it is cold and this VM has used up its share of what the worker stands. Answers a
 * data centre that comes back cold under full load: its empty workers would attract all VMs at
 * once.
 *
 * <p>While the store is away nobody hears that a worker has started again and is cold. A worker
 * that was out of reach a moment ago is then taken for one that has.
 *
 * <p>Law: {@code isEligible(s)} is {@code wait(s)} being zero. Not thread-safe.
 */
public final class Eligibility {

    /**
     * Why workers may get no request now.
     *
     * @param evacuated how many stand in data centres that are being emptied
     * @param warmingUp how many are cold, and this VM has used up its share
     * @param rejecting how many want nothing from this VM
     */
    public record Reasons(int evacuated, int warmingUp, int rejecting) {}

    private final Evacuations evacuations;
    private final WarmUpShares shares;
    private final Function<ServiceName, Optional<WarmUp>> warmUps;
    private final BooleanSupplier storeAway;

    /**
     * Creates it.
     *
     * @param evacuations the data centres that are being emptied
     * @param shares this VM's part of what cold workers stand
     * @param warmUps what cold workers of a service stand
     * @param storeAway tells whether nothing is heard of workers
     */
    public Eligibility(
            final Evacuations evacuations,
            final WarmUpShares shares,
            final Function<ServiceName, Optional<WarmUp>> warmUps,
            final BooleanSupplier storeAway) {
        this.evacuations = Objects.requireNonNull(evacuations, "evacuations is null");
        this.shares = Objects.requireNonNull(shares, "shares is null");
        this.warmUps = Objects.requireNonNull(warmUps, "warmUps is null");
        this.storeAway = Objects.requireNonNull(storeAway, "storeAway is null");
    }

    /**
     * Tells whether a worker may get a request now.
     *
     * @param server the worker
     * @return true if nothing speaks against it
     */
    public boolean isEligible(final TrackedServer server) {
        final boolean nothingIsUp = evacuations.size() == 0 && !storeAway.getAsBoolean();
        if (nothingIsUp && server.isUnrestricted()) {
            return true;
        }
        return wait(server).filter(Duration::isZero).isPresent();
    }

    /**
     * Returns when a worker may get a request.
     *
     * @param server the worker
     * @return the time until then, empty if nobody knows
     */
    public Optional<Duration> wait(final TrackedServer server) {
        if (evacuations.includes(server.entry().dataCentre())) {
            return Optional.empty();
        }
        final Duration wanted = server.rejectsFor();
        final Duration cold = whileCold(server);
        return Optional.of(wanted.compareTo(cold) > 0 ? wanted : cold);
    }

    /**
     * Counts the workers that may get no request now, by the first reason for it.
     *
     * @param servers the workers
     * @return the counts
     */
    public Reasons reasons(final Collection<TrackedServer> servers) {
        int evacuated = 0;
        int cold = 0;
        int wantNothing = 0;
        for (final TrackedServer server : servers) {
            if (evacuations.includes(server.entry().dataCentre())) {
                evacuated++;
            } else if (!server.rejectsFor().isZero()) {
                wantNothing++;
            } else if (!isEligible(server)) {
                cold++;
            }
        }
        return new Reasons(evacuated, cold, wantNothing);
    }

    /**
     * Notes that a data centre was taken back. Its workers may have become cold shortly before, and
     * their entries may not say so yet.
     *
     * @param server a worker there
     */
    public void onEvacuationEnded(final TrackedServer server) {
        warmUps.apply(server.entry().service()).ifPresent(w -> server.onPossibleRestart(w.time()));
    }

    private Duration whileCold(final TrackedServer server) {
        final boolean outOfSight = storeAway.getAsBoolean();
        if (server.warmUpLeft().isZero() && !outOfSight) {
            return Duration.ZERO;
        }
        final Optional<WarmUp> warmUp = warmUps.apply(server.entry().service());
        if (warmUp.isEmpty()) {
            return Duration.ZERO;
        }
        if (outOfSight) {
            suspectRestart(server, warmUp.get());
        }
        return server.warmUpLeft().isZero()
                ? Duration.ZERO
                : server.warmUpDelay(
                        shares.of(server.entry().id(), warmUp.get().requestsPerSecond()));
    }

    private static void suspectRestart(final TrackedServer server, final WarmUp warmUp) {
        final long sinceMillis = server.health().backMillis();
        if (sinceMillis < warmUp.time().toMillis()) {
            server.onPossibleRestart(warmUp.time().minusMillis(sinceMillis));
        }
    }
}
