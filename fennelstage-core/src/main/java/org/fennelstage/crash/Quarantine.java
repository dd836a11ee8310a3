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
 * Requests that no worker gets any more, since they end those that run them.
 *
 * <p>Law: a request stays for {@link #LIFETIME} unless it is released. Not thread-safe.
 */
public final class Quarantine {

    /**
     * How long a request is refused. Longer than callers go on asking for the same thing by
     * themselves; what was mended meanwhile, in the worker or in the request, is tried again then.
     */
    public static final Duration LIFETIME = Duration.ofMinutes(10);

    private final MonotonicClock clock;
    private final Map<Fingerprint, Long> sinceMillis = new LinkedHashMap<>();

    private Quarantine(final MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns a quarantine that refuses nothing.
     *
     * @param clock the clock
     * @return the quarantine
     */
    public static Quarantine of(final MonotonicClock clock) {
        return new Quarantine(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Refuses a request from now on.
     *
     * @param content the request
     * @return false if it is refused already
     */
    public boolean add(final Fingerprint content) {
        return sinceMillis.putIfAbsent(content, clock.millis()) == null;
    }

    /**
     * Refuses a request no longer.
     *
     * @param content the request
     * @return false if it was not refused
     */
    public boolean release(final Fingerprint content) {
        return sinceMillis.remove(content) != null;
    }

    /**
     * Tells for how long a request will be refused.
     *
     * @param content the request
     * @return the time, empty if it is not refused
     */
    public Optional<Duration> remaining(final Fingerprint content) {
        return Optional.ofNullable(sinceMillis.get(content))
                .map(since -> LIFETIME.minusMillis(clock.millis() - since))
                .filter(left -> !left.isNegative());
    }

    /**
     * Takes out the requests whose time is over.
     *
     * @return the requests
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
     * Returns the requests that are refused.
     *
     * @return the requests
     */
    public Set<Fingerprint> contents() {
        return Set.copyOf(sinceMillis.keySet());
    }

    /**
     * Returns how many requests are refused.
     *
     * @return the count
     */
    public int size() {
        return sinceMillis.size();
    }

    @Override
    public String toString() {
        return "Quarantine[" + sinceMillis.size() + "]";
    }
}
