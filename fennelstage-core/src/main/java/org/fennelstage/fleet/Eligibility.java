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
 * Decides whether a backend server may get a request now, and if not, when it may.
 *
 * <p>A backend server is not eligible while its data centre is evacuated, while it rejects requests
 * from this VM, and while it is warming up or reports a limit and this VM has used up its share of
 * what the server accepts. This keeps the VMs from overloading such servers, whose low load would
 * attract all VMs at once.
 *
 * <p>While the store is unavailable, restarts are not reported. A backend server that was recently
 * unreachable is then treated as restarted and warming up.
 *
 * <p>Invariant: {@code isEligible(s)} holds if and only if {@code wait(s)} is zero. Not
 * thread-safe.
 */
public final class Eligibility {

    /**
     * Why backend servers may get no request now.
     *
     * @param evacuated how many are in evacuated data centres
     * @param warmingUp how many are warming up while this VM has used up its share
     * @param rejecting how many reject requests from this VM
     * @param limited how many report a limit of which this VM has used up its share
     */
    public record Reasons(int evacuated, int warmingUp, int rejecting, int limited) {}

    private static final Duration LIMIT_WINDOW =
            Duration.ofMillis(TrackedServer.LIMIT_WINDOW_MILLIS);

    private final Evacuations evacuations;
    private final RequestShares shares;
    private final Function<ServiceName, Optional<WarmUp>> warmUps;
    private final BooleanSupplier storeUnavailable;

    /**
     * Creates the eligibility rules of one VM.
     *
     * @param evacuations the evacuated data centres
     * @param shares this VM's share of the requests that each backend server accepts
     * @param warmUps the warm-up settings of a service, empty if it needs no warm-up
     * @param storeUnavailable returns whether the store cannot be reached
     */
    public Eligibility(
            final Evacuations evacuations,
            final RequestShares shares,
            final Function<ServiceName, Optional<WarmUp>> warmUps,
            final BooleanSupplier storeUnavailable) {
        this.evacuations = Objects.requireNonNull(evacuations, "evacuations is null");
        this.shares = Objects.requireNonNull(shares, "shares is null");
        this.warmUps = Objects.requireNonNull(warmUps, "warmUps is null");
        this.storeUnavailable =
                Objects.requireNonNull(storeUnavailable, "storeUnavailable is null");
    }

    /**
     * Returns whether a backend server may get a request now.
     *
     * @param server the backend server
     * @return true if no restriction applies
     */
    public boolean isEligible(final TrackedServer server) {
        final boolean noGlobalRestriction =
                evacuations.size() == 0 && !storeUnavailable.getAsBoolean();
        if (noGlobalRestriction && server.isUnrestricted()) {
            return true;
        }
        return wait(server).filter(Duration::isZero).isPresent();
    }

    /**
     * Returns how long until a backend server may get a request.
     *
     * @param server the backend server
     * @return the time until then, empty if it is unknown
     */
    public Optional<Duration> wait(final TrackedServer server) {
        if (evacuations.includes(server.entry().dataCentre())) {
            return Optional.empty();
        }
        final Duration others = longer(server.rejectsFor(), warmUpDelay(server));
        return limitDelay(server).map(limit -> longer(others, limit));
    }

    private static Duration longer(final Duration one, final Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    /** Returns how long this VM's share of a reported limit is used up, empty if it has none. */
    private Optional<Duration> limitDelay(final TrackedServer server) {
        final Optional<RateLimit> limit = server.limit();
        if (limit.isEmpty()) {
            return Optional.of(Duration.ZERO);
        }
        final int requests = limit.get().requestsIn(LIMIT_WINDOW);
        return server.limitDelay(shares.of(server.entry().id(), requests));
    }

    /**
     * Counts the backend servers that may get no request now, each by its first reason.
     *
     * @param servers the backend servers
     * @return the counts
     */
    public Reasons reasons(final Collection<TrackedServer> servers) {
        int evacuated = 0;
        int warmingUp = 0;
        int rejecting = 0;
        int limited = 0;
        for (final TrackedServer server : servers) {
            if (evacuations.includes(server.entry().dataCentre())) {
                evacuated++;
            } else if (!server.rejectsFor().isZero()) {
                rejecting++;
            } else if (!limitDelay(server).equals(Optional.of(Duration.ZERO))) {
                limited++;
            } else if (!isEligible(server)) {
                warmingUp++;
            }
        }
        return new Reasons(evacuated, warmingUp, rejecting, limited);
    }

    /**
     * Records that the evacuation of a data centre ended. Its backend servers may have restarted
     * shortly before without having updated their entries, so they are treated as warming up.
     *
     * @param server a backend server of the data centre
     */
    public void onEvacuationEnded(final TrackedServer server) {
        warmUps.apply(server.entry().service()).ifPresent(w -> server.onPossibleRestart(w.time()));
    }

    private Duration warmUpDelay(final TrackedServer server) {
        final boolean restartsUnreported = storeUnavailable.getAsBoolean();
        if (server.warmUpLeft().isZero() && !restartsUnreported) {
            return Duration.ZERO;
        }
        final Optional<WarmUp> warmUp = warmUps.apply(server.entry().service());
        if (warmUp.isEmpty()) {
            return Duration.ZERO;
        }
        if (restartsUnreported) {
            assumeRestartIfUnreachable(server, warmUp.get());
        }
        return server.warmUpLeft().isZero()
                ? Duration.ZERO
                : server.warmUpDelay(
                        shares.of(server.entry().id(), warmUp.get().requestsPerSecond()));
    }

    private static void assumeRestartIfUnreachable(
            final TrackedServer server, final WarmUp warmUp) {
        final long sinceMillis = server.health().millisSinceUnreachable();
        if (sinceMillis < warmUp.time().toMillis()) {
            server.onPossibleRestart(warmUp.time().minusMillis(sinceMillis));
        }
    }
}
