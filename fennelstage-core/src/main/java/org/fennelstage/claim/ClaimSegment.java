package org.fennelstage.claim;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One object of a slot's claim log in the store, changed only by conditional writes.
 *
 * <p>Invariant: a sealed segment never changes, so it may be cached without expiry. Immutable and
 * thread-safe.
 *
 * @param number the index of the segment in the slot's log, from 0
 * @param sealed whether the segment accepts no more changes
 * @param claims the claims by team and idempotency key
 */
public record ClaimSegment(long number, boolean sealed, Map<String, Claim> claims) {

    /** The number of claims of a full segment; keeps the stored object at about 20 KB. */
    public static final int CAPACITY = 200;

    public ClaimSegment {
        claims = Map.copyOf(claims);
    }

    /**
     * Returns an open segment without claims.
     *
     * @param number the index of the segment in the slot's log, from 0
     * @return the segment
     */
    public static ClaimSegment empty(final long number) {
        return new ClaimSegment(number, false, Map.of());
    }

    /**
     * Returns the claim on a key.
     *
     * @param key team and idempotency key
     * @return the claim, including a released one; empty if there is none
     */
    public Optional<Claim> find(final String key) {
        return Optional.ofNullable(claims.get(key));
    }

    /**
     * Returns whether the segment has reached its capacity and is to be sealed.
     *
     * @return true at or above {@link #CAPACITY}
     */
    public boolean isFull() {
        return claims.size() >= CAPACITY;
    }

    /**
     * Returns this segment with one claim set.
     *
     * @param change the key and its claim
     * @return the changed segment
     * @throws IllegalStateException if this segment is sealed
     */
    public ClaimSegment with(final ClaimChange change) {
        Objects.requireNonNull(change, "change is null");
        if (sealed) {
            throw new IllegalStateException("claim segment " + number + " is sealed");
        }
        final Map<String, Claim> next = new TreeMap<>(claims);
        next.put(change.key(), change.claim());
        return new ClaimSegment(number, false, next);
    }

    /**
     * Returns this segment sealed.
     *
     * @return the sealed segment
     */
    public ClaimSegment seal() {
        return new ClaimSegment(number, true, claims);
    }
}
