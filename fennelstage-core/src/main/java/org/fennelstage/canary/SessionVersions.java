package org.fennelstage.canary;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.time.MonotonicClock;

/**
 * Remembers on which version each session ran last.
 *
 * <p>Invariant: at most {@link #MOST} sessions; the least recently used is forgotten first. Not
 * thread-safe.
 */
public final class SessionVersions {

    /** Sessions kept: 5 s of 1,100 requests a second at one of a few VMs, with room. */
    private static final int MOST = 4_096;

    private record Seen(String version, long atMillis) {}

    private final MonotonicClock clock;
    private final long keptMillis;
    private final Map<String, Seen> sessions =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<String, Seen> eldest) {
                    return size() > MOST;
                }
            };

    private SessionVersions(final MonotonicClock clock, final long keptMillis) {
        this.clock = clock;
        this.keptMillis = keptMillis;
    }

    /**
     * Returns an empty memory.
     *
     * @param clock the clock
     * @param keptMillis how long after its last request a session is over; milliseconds
     * @return the memory
     */
    public static SessionVersions of(final MonotonicClock clock, final long keptMillis) {
        return new SessionVersions(Objects.requireNonNull(clock, "clock is null"), keptMillis);
    }

    /**
     * Notes on which version a session runs.
     *
     * @param session the session
     * @param version the version
     */
    public void note(final String session, final String version) {
        sessions.put(session, new Seen(version, clock.millis()));
    }

    /**
     * Returns the version of a session.
     *
     * @param session the session
     * @return the version, empty if the session is not known or over
     */
    public Optional<String> version(final String session) {
        final Seen seen = sessions.get(session);
        if (seen == null || clock.millis() - seen.atMillis() > keptMillis) {
            return Optional.empty();
        }
        return Optional.of(seen.version());
    }
}
