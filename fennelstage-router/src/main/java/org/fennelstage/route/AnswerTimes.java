package org.fennelstage.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;

/** How long whole answers take of late, by profile and version. Thread-safe. */
final class AnswerTimes {

    private static final double WEIGHT = 0.1;

    private final Map<Key, Double> seconds = new ConcurrentHashMap<>();

    private record Key(ProfileId profile, VersionId version) {}

    void note(final ProfileId profile, final VersionId version, final double taken) {
        seconds.merge(new Key(profile, version), taken, (old, now) -> old + WEIGHT * (now - old));
    }

    /** Returns the moving mean; 0 before any answer, so that a version gets its first chance. */
    double seconds(final ProfileId profile, final VersionId version) {
        return seconds.getOrDefault(new Key(profile, version), 0.0);
    }
}
