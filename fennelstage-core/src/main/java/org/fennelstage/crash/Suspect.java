package org.fennelstage.crash;

import java.util.HashMap;
import java.util.HashSet;
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

    /** One crash: when it became known, whether it is cleared, and the requests that were hit. */
    private static final class Crash {
        private final long atMillis;
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

    /** Records that a request was hit by a crash. */
    void add(
            final Incarnation server,
            final int positionInPrompt,
            final Fingerprint content,
            final long nowMillis) {
        position = Math.max(position, positionInPrompt);
        crash(server, nowMillis).contents.add(content);
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
