package org.fennelstage.crash;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * The crashes that a content or a part of a prompt may have caused.
 *
 * <p>Invariant: a cleared crash stays cleared until it expires. Not thread-safe.
 */
final class Suspect {

    /** Position of a whole content, which has none in a prompt. */
    static final int CONTENT = -1;

    /**
     * One crash: when it became known and when it happened, since when the server had requests with
     * the suspect, whether it is cleared, and the requests that were hit.
     */
    private static final class Crash {
        private final long atMillis;
        private long startMillis = Long.MAX_VALUE;
        private long endMillis = Long.MAX_VALUE;
        private final Set<Fingerprint> contents = new HashSet<>();
        private boolean cleared;

        Crash(final long atMillis) {
            this.atMillis = atMillis;
        }
    }

    private final Map<Incarnation, Crash> crashes = new HashMap<>();
    private int position = CONTENT;

    /** Returns the position in the prompt, {@link #CONTENT} for a whole content. */
    int position() {
        return position;
    }

    boolean isPart() {
        return position != CONTENT;
    }

    /**
     * Records that a request was hit by a crash.
     *
     * @param startMillis the time at which the request was sent to the server
     * @param endMillis the time of the crash
     */
    void add(
            final Incarnation server,
            final int positionInPrompt,
            final Fingerprint content,
            final long startMillis,
            final long endMillis,
            final long nowMillis) {
        position = Math.max(position, positionInPrompt);
        final Crash crash = crash(server, nowMillis);
        crash.contents.add(content);
        crash.startMillis = Math.min(crash.startMillis, startMillis);
        crash.endMillis = Math.min(crash.endMillis, endMillis);
    }

    /** Clears crashes, also those that are not known yet. */
    void clear(final Set<Incarnation> servers, final long nowMillis) {
        servers.forEach(server -> crash(server, nowMillis).cleared = true);
    }

    void removeOlderThan(final long oldestMillis) {
        crashes.values().removeIf(crash -> crash.atMillis < oldestMillis);
    }

    /** Returns the number of crashes that count. */
    int count() {
        return (int) crashes.values().stream().filter(crash -> !crash.cleared).count();
    }

    /** Returns the incarnations whose crashes count. */
    Set<Incarnation> servers() {
        final Set<Incarnation> counted = new HashSet<>();
        crashes.forEach(
                (server, crash) -> {
                    if (!crash.cleared) {
                        counted.add(server);
                    }
                });
        return counted;
    }

    /**
     * Returns the number of moments at which some of the given crashes happened. Crashes of servers
     * that had the suspect at the same time share a moment: something else may have ended them
     * together, whereas a cause that is sent on after a crash arrives at the next server later.
     */
    int moments(final Set<Incarnation> servers) {
        final List<Crash> byEnd =
                servers.stream()
                        .map(crashes::get)
                        .sorted(Comparator.comparingLong(crash -> crash.endMillis))
                        .toList();
        int moments = 0;
        long lastEndMillis = Long.MIN_VALUE;
        for (final Crash crash : byEnd) {
            if (crash.startMillis >= lastEndMillis) {
                moments++;
                lastEndMillis = crash.endMillis;
            }
        }
        return moments;
    }

    /** Returns whether it was present when a backend server crashed, and that crash counts. */
    boolean wasAt(final Incarnation server) {
        final Crash crash = crashes.get(server);
        return crash != null && !crash.cleared;
    }

    /** Returns whether it is recorded that a request was hit by a crash. */
    boolean contains(final Incarnation server, final Fingerprint content) {
        final Crash crash = crashes.get(server);
        return crash != null && crash.contents.contains(content);
    }

    /** Returns how many different requests were hit by the given crashes. */
    int requests(final Set<Incarnation> servers) {
        final Set<Fingerprint> contents = new HashSet<>();
        servers.forEach(server -> contents.addAll(crashes.get(server).contents));
        return contents.size();
    }

    private Crash crash(final Incarnation server, final long nowMillis) {
        return crashes.computeIfAbsent(server, s -> new Crash(nowMillis));
    }
}
