package org.fennelstage.startup;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * Decides which VM a starting VM asks for a copy, and when.
 *
 * <p>Invariants: at most one request is pending; a VM that gave a copy is asked next until it
 * fails; each VM is asked at most once in a round after it failed, with pauses after each failure
 * and between rounds; at most {@link #MAX_SENDERS} unlisted VMs are remembered. Not thread-safe.
 *
 * @param <A> the type of the address of a VM
 */
public final class CopyRequests<A> {

    /** Senders remembered. With that many VMs it is unlikely that none of them is ready. */
    static final int MAX_SENDERS = 16;

    /**
     * Shortest pause between two rounds; milliseconds. As long as one VM may take to respond, so
     * that VMs that refuse at once are not asked more often than those that hang.
     */
    static final long MIN_PAUSE_MILLIS = 300;

    /**
     * Shortest time from a request that fails to the next; milliseconds. It keeps the calls of a
     * fleet that starts together, in which every VM refuses, to five a second for each VM.
     */
    static final long MIN_INTERVAL_MILLIS = 200;

    private final LongUnaryOperator random;
    private final Set<A> senders = new LinkedHashSet<>();
    private final Set<A> failed = new HashSet<>();
    private Optional<A> giving = Optional.empty();
    private boolean pending;
    private long askedMillis;
    private long pausedUntilMillis = Long.MIN_VALUE;

    /**
     * Creates requests to no known VM.
     *
     * @param random returns a random number from 0 up to its argument, exclusive
     */
    public CopyRequests(final LongUnaryOperator random) {
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Records a VM from which a message has arrived.
     *
     * @param sender its address
     */
    public void onSender(final A sender) {
        if (senders.size() < MAX_SENDERS) {
            senders.add(sender);
        }
    }

    /**
     * Returns the VM to ask now. The request is pending until {@link #onGiven} or {@link
     * #onFailed}.
     *
     * @param listed the other VMs in the order in which to ask them, empty if the list is unknown
     * @param nowMillis the time; milliseconds
     * @return the address, empty if none is to be asked now
     */
    public Optional<A> next(final List<A> listed, final long nowMillis) {
        if (pending || nowMillis < pausedUntilMillis) {
            return Optional.empty();
        }
        final Set<A> candidates = new LinkedHashSet<>(listed);
        candidates.addAll(senders);
        candidates.removeAll(failed);
        final Optional<A> next = giving.or(() -> candidates.stream().findFirst());
        pending = next.isPresent();
        askedMillis = nowMillis;
        if (!pending && !failed.isEmpty()) {
            failed.clear();
            pausedUntilMillis = nowMillis + MIN_PAUSE_MILLIS + random.applyAsLong(MIN_PAUSE_MILLIS);
        }
        return next;
    }

    /**
     * Records that the VM that was asked gave a copy.
     *
     * @param vm its address
     */
    public void onGiven(final A vm) {
        pending = false;
        giving = Optional.of(vm);
    }

    /**
     * Records that the VM that was asked gave no usable copy.
     *
     * @param vm its address
     */
    public void onFailed(final A vm) {
        pending = false;
        giving = Optional.empty();
        failed.add(vm);
        pausedUntilMillis = askedMillis + MIN_INTERVAL_MILLIS;
    }
}
