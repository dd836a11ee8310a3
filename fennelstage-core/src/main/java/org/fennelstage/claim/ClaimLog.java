package org.fennelstage.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * What is known of one slot's claims: the sealed segments, cached, and the open one.
 *
 * <p>Laws: of several claims on a key the one in the latest segment counts; a claim that is held or
 * done is never replaced by another holder; claiming and settling are idempotent per holder, so a
 * writer that lost the answer to its update reads the open segment back and sees whether it took
 * effect. Two keepers of one slot are harmless: only one conditional update of the open segment
 * succeeds, and a new segment is begun only after the one before it was sealed.
 *
 * <p>Immutable but for the cache of sealed claims, which is shared between successors; not
 * thread-safe.
 */
public final class ClaimLog {

    private final Map<String, Claim> sealed;
    private final ClaimSegment open;

    private ClaimLog(final Map<String, Claim> sealed, final ClaimSegment open) {
        this.sealed = sealed;
        this.open = open;
    }

    /**
     * Returns the log of a slot that has no claims yet.
     *
     * @return the log
     */
    public static ClaimLog empty() {
        return new ClaimLog(new HashMap<>(), ClaimSegment.empty(0));
    }

    /**
     * Returns the segment that takes changes.
     *
     * @return the open segment
     */
    public ClaimSegment open() {
        return open;
    }

    /**
     * Replaces the open segment by what was read from, or written to, the object API. If that is
     * sealed its claims join the cache and an empty successor opens.
     *
     * @param segment the segment
     * @return the log after it
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
     * @return the latest claim, also if released
     */
    public Optional<Claim> find(final String key) {
        return open.find(key).or(() -> Optional.ofNullable(sealed.get(key)));
    }

    /**
     * Tells whether a change may be made now.
     *
     * @param change the change
     * @return true if it may
     */
    public boolean allows(final ClaimChange change) {
        final Claim wanted = change.claim();
        final Optional<Claim> held = find(change.key());
        if (held.isEmpty()) {
            return wanted.state() != Claim.State.DONE;
        }
        final boolean sameHolder = held.get().holder().equals(wanted.holder());
        if (held.get().state() == Claim.State.RELEASED) {
            // A holder that released has told its caller "not run". Its own late claim, still on
            // the way when it gave up, must not take the key again: the caller's next attempt
            // would be told that the outcome is unknown although nothing ran.
            return wanted.state() == Claim.State.HELD && !sameHolder;
        }
        return sameHolder && held.get().state() == Claim.State.HELD;
    }

    /**
     * Tells whether a change has been made.
     *
     * @param change the change
     * @return true if the key's latest claim is the one wanted
     */
    public boolean contains(final ClaimChange change) {
        return find(change.key()).filter(change.claim()::equals).isPresent();
    }

    /**
     * Returns how many claims are held in memory.
     *
     * @return the count
     */
    public int size() {
        return sealed.size() + open.claims().size();
    }
}
