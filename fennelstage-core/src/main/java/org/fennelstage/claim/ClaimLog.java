package org.fennelstage.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The claims of one slot (a partition of the keys): a cache of the sealed segments and the open
 * segment.
 *
 * <p>Invariants: of several claims on a key, the one in the latest segment is valid; a claim that
 * is held or done is never replaced by another holder; changes are idempotent per holder, so a
 * writer that lost the response to its conditional write reads the open segment again to find out
 * whether the write took effect. Concurrent writers of a slot are safe: only one conditional write
 * of the open segment succeeds, and a new segment is opened only after its predecessor is sealed.
 *
 * <p>Not thread-safe: the cache of sealed claims is mutable and shared with the logs that {@link
 * #advance} returns.
 */
public final class ClaimLog {

    private final Map<String, Claim> sealed;
    private final ClaimSegment open;

    private ClaimLog(final Map<String, Claim> sealed, final ClaimSegment open) {
        this.sealed = sealed;
        this.open = open;
    }

    /**
     * Returns the log of a slot without claims.
     *
     * @return the log
     */
    public static ClaimLog empty() {
        return new ClaimLog(new HashMap<>(), ClaimSegment.empty(0));
    }

    /**
     * Returns the segment that accepts changes.
     *
     * @return the open segment
     */
    public ClaimSegment open() {
        return open;
    }

    /**
     * Replaces the open segment by one that was read from or written to the store. The claims of a
     * sealed segment are added to the cache, and an empty segment is opened after it.
     *
     * @param segment the segment
     * @return the resulting log
     */
    public ClaimLog advance(final ClaimSegment segment) {
        Objects.requireNonNull(segment, "segment is null");
        if (!segment.sealed()) {
            return new ClaimLog(sealed, segment);
        }
        sealed.putAll(segment.claims());
        return new ClaimLog(sealed, ClaimSegment.empty(segment.number() + 1));
    }

    /**
     * Returns the claim on a key.
     *
     * @param key team and idempotency key
     * @return the latest claim, including a released one; empty if there is none
     */
    public Optional<Claim> find(final String key) {
        return open.find(key).or(() -> Optional.ofNullable(sealed.get(key)));
    }

    /**
     * Returns whether a change is permitted in the current state.
     *
     * @param change the change
     * @return true if it is permitted
     */
    public boolean allows(final ClaimChange change) {
        final Claim wanted = change.claim();
        final Optional<Claim> latest = find(change.key());
        if (latest.isEmpty()) {
            return wanted.state() != Claim.State.DONE;
        }
        final boolean sameHolder = latest.get().holder().equals(wanted.holder());
        if (latest.get().state() == Claim.State.RELEASED) {
            // The caller of a holder that released was told "not run". A delayed claim of the same
            // holder must not claim the key again: a later request with this key would get the
            // outcome "unknown" although nothing ran.
            return wanted.state() == Claim.State.HELD && !sameHolder;
        }
        return sameHolder && latest.get().state() == Claim.State.HELD;
    }

    /**
     * Returns whether a change has taken effect.
     *
     * @param change the change
     * @return true if the key's latest claim equals the claim of the change
     */
    public boolean contains(final ClaimChange change) {
        return find(change.key()).filter(change.claim()::equals).isPresent();
    }

    /**
     * Returns the number of claims in memory.
     *
     * @return the claims of the cache and of the open segment
     */
    public int size() {
        return sealed.size() + open.claims().size();
    }
}
