package org.fennelstage.claim;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One object of a slot's claim log: a bounded set of claims, changed only by conditional update.
 *
 * <p>Invariant: a sealed segment never changes again, so its content may be cached for ever.
 * Immutable and thread-safe.
 *
 * @param number its position in the slot's log, from 0
 * @param sealed whether later claims belong to the next segment
 * @param claims the claims by team and idempotency key
 */
public record ClaimSegment(long number, boolean sealed, Map<String, Claim> claims) {

    /** Bounds the object to about 20 KB, so that a conditional update stays cheap. */
    public static final int CAPACITY = 200;

    public ClaimSegment {
        claims = Map.copyOf(claims);
    }

    /**
     * Returns an open segment without claims.
     *
     * @param number its position
     * @return the segment
     */
    public static ClaimSegment empty(final long number) {
        return new ClaimSegment(number, false, Map.of());
    }

    /**
     * Returns the claim on a key.
     *
     * @param key team and idempotency key
     * @return the claim, also if released
     */
    public Optional<Claim> find(final String key) {
        return Optional.ofNullable(claims.get(key));
    }

    /**
     * Tells whether the segment ought to be sealed.
     *
     * @return true at capacity
     */
    public boolean isFull() {
        return claims.size() >= CAPACITY;
    }

    /**
     * Returns this segment with one claim set.
     *
     * @param change the key and its claim
     * @return the larger segment
     */
    public ClaimSegment with(final ClaimChange change) {
        Objects.requireNonNull(change, "change is null");
        if (sealed) {
            throw new IllegalStateException("segment " + number + " is sealed");
        }
        final Map<String, Claim> next = new TreeMap<>(claims);
        next.put(change.key(), change.claim());
        return new ClaimSegment(number, false, next);
    }

    /**
     * Returns this segment closed to changes.
     *
     * @return the sealed segment
     */
    public ClaimSegment seal() {
        return new ClaimSegment(number, true, claims);
    }
}
