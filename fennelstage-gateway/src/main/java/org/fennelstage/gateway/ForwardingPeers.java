package org.fennelstage.gateway;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.time.MonotonicClock;

/**
 * Chooses other VMs through which the requests of one service go to its backend servers.
 *
 * <p>Nothing tells in advance which VMs reach the servers; one that does not says so at once. VMs
 * that served a request share the following ones by their number of open requests. While there are
 * few of them, VMs of which nothing is known are tried first, so that the load spreads; at random,
 * since VMs that are near each other are often cut off together.
 *
 * <p>Invariant: after {@link #MAX_FAILURES} failures without a success in between, only VMs that
 * served a moment ago are chosen for a pause, since the service is then probably down for all
 * others. Not thread-safe.
 */
final class ForwardingPeers {

    /** How long a VM that could not send a request is left out; milliseconds. */
    static final long AVOIDED_MILLIS = 1_000;

    /** How long a VM counts as one that reaches the servers after it served; milliseconds. */
    static final long CONFIRMED_MILLIS = 2_000;

    /** Number of confirmed VMs from which on no further ones are tried. */
    static final int ENOUGH_CONFIRMED = 4;

    static final int MAX_FAILURES = 4;

    /** Time between two VMs that are tried while another one serves; milliseconds. */
    static final long TRIAL_INTERVAL_MILLIS = 100;

    /** First pause after failures; doubles up to {@link #MAX_PAUSE_MILLIS}. */
    static final long FIRST_PAUSE_MILLIS = 500;

    static final long MAX_PAUSE_MILLIS = 2_000;

    private static final class Peer {
        private int running;
        private long avoidedUntilMillis = Long.MIN_VALUE;
        private long confirmedUntilMillis = Long.MIN_VALUE;
    }

    private final Supplier<List<InetSocketAddress>> peers;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final Map<InetSocketAddress, Peer> known = new HashMap<>();
    private int failures;
    private int pauses;
    private long nextTrialMillis = Long.MIN_VALUE;

    /**
     * Creates a choice without knowledge.
     *
     * @param peers the addresses of the other VMs
     * @param random chooses among VMs of which nothing is known
     * @param clock the clock
     */
    ForwardingPeers(
            final Supplier<List<InetSocketAddress>> peers,
            final RandomGenerator random,
            final MonotonicClock clock) {
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Chooses a VM.
     *
     * @param excluded VMs that may not be chosen
     * @return its address, empty if there is none at present
     */
    Optional<InetSocketAddress> choose(final Set<InetSocketAddress> excluded) {
        final long now = clock.millis();
        final List<InetSocketAddress> candidates =
                peers.get().stream()
                        .filter(p -> !excluded.contains(p) && peer(p).avoidedUntilMillis <= now)
                        .toList();
        final List<InetSocketAddress> confirmed =
                candidates.stream().filter(p -> isConfirmed(p, now)).toList();
        final List<InetSocketAddress> unknown =
                candidates.stream().filter(p -> !isConfirmed(p, now)).toList();
        final boolean mayTry = now >= nextTrialMillis && !unknown.isEmpty();
        if (mayTry && confirmed.size() < ENOUGH_CONFIRMED) {
            nextTrialMillis = confirmed.isEmpty() ? now : now + TRIAL_INTERVAL_MILLIS;
            return Optional.of(unknown.get(random.nextInt(unknown.size())));
        }
        return confirmed.stream().min(Comparator.comparingInt(p -> peer(p).running));
    }

    private boolean isConfirmed(final InetSocketAddress address, final long now) {
        return peer(address).confirmedUntilMillis > now;
    }

    private Peer peer(final InetSocketAddress address) {
        return known.computeIfAbsent(address, a -> new Peer());
    }

    /** Records that a request is sent to a VM. */
    void onBegin(final InetSocketAddress address) {
        peer(address).running++;
    }

    /** Records the end of a request that was sent to a VM. */
    void onEnd(final InetSocketAddress address) {
        peer(address).running--;
    }

    /** Records that a VM sent a request to a backend server. */
    void onSuccess(final InetSocketAddress address) {
        peer(address).confirmedUntilMillis = clock.millis() + CONFIRMED_MILLIS;
        failures = 0;
        pauses = 0;
    }

    /** Records that a VM could not send a request, or could not be reached itself. */
    void onFailure(final InetSocketAddress address) {
        final Peer peer = peer(address);
        peer.avoidedUntilMillis = clock.millis() + AVOIDED_MILLIS;
        peer.confirmedUntilMillis = Long.MIN_VALUE;
        failures++;
        if (failures >= MAX_FAILURES) {
            failures = 0;
            final long pause = FIRST_PAUSE_MILLIS << Math.min(pauses, 2);
            nextTrialMillis = clock.millis() + Math.min(pause, MAX_PAUSE_MILLIS);
            pauses++;
        }
    }

    @Override
    public String toString() {
        return "ForwardingPeers[known=" + known.size() + ", failures=" + failures + "]";
    }
}
