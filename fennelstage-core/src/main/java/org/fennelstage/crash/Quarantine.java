package org.fennelstage.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.time.MonotonicClock;

/**
 * Contents and parts of prompts with which requests are rejected, because they crash backend
 * servers.
 *
 * <p>Invariant: a content or part stays in quarantine for {@link #LIFETIME} unless it is released
 * earlier. Not thread-safe.
 */
public final class Quarantine {

    /**
     * How long a request is rejected. Exceeds the time for which callers retry automatically; after
     * it, a repaired backend server or request is tried again.
     */
    public static final Duration LIFETIME = Duration.ofMinutes(10);

    private final MonotonicClock clock;
    private final Map<Fingerprint, Long> sinceMillis = new LinkedHashMap<>();

    private Quarantine(final MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns an empty quarantine.
     *
     * @param clock the clock
     * @return the quarantine
     */
    public static Quarantine of(final MonotonicClock clock) {
        return new Quarantine(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Adds a request. Its time is not extended if it is in quarantine already.
     *
     * @param content the request's fingerprint
     * @return false if it was in quarantine already
     */
    public boolean add(final Fingerprint content) {
        return sinceMillis.putIfAbsent(content, clock.millis()) == null;
    }

    /**
     * Removes a request before its time has passed.
     *
     * @param content the request's fingerprint
     * @return false if it was not in quarantine
     */
    public boolean release(final Fingerprint content) {
        return sinceMillis.remove(content) != null;
    }

    /**
     * Returns for how much longer a request is rejected.
     *
     * @param content the request's fingerprint
     * @return the time, empty if it is not rejected
     */
    public Optional<Duration> remaining(final Fingerprint content) {
        return Optional.ofNullable(sinceMillis.get(content))
                .map(since -> LIFETIME.minusMillis(clock.millis() - since))
                .filter(remaining -> !remaining.isNegative());
    }

    /**
     * Removes the requests whose time has passed.
     *
     * @return the fingerprints of the removed requests
     */
    public List<Fingerprint> removeExpired() {
        final List<Fingerprint> expired = new ArrayList<>();
        sinceMillis.forEach(
                (content, since) -> {
                    if (clock.millis() - since > LIFETIME.toMillis()) {
                        expired.add(content);
                    }
                });
        expired.forEach(sinceMillis::remove);
        return expired;
    }

    /**
     * Returns the requests in quarantine, including expired ones that are not removed yet.
     *
     * @return their fingerprints
     */
    public Set<Fingerprint> contents() {
        return Set.copyOf(sinceMillis.keySet());
    }

    /**
     * Returns the number of requests in quarantine, including expired ones that are not removed
     * yet.
     *
     * @return the number of requests
     */
    public int size() {
        return sinceMillis.size();
    }

    @Override
    public String toString() {
        return "Quarantine[" + sinceMillis.size() + "]";
    }
}
