package org.fennelstage.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;

/**
 * Exponentially weighted mean of the time to a complete response, by profile and version.
 * Thread-safe.
 */
final class ResponseTimes {

    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<Key, Double> meanSeconds = new ConcurrentHashMap<>();

    private record Key(ProfileId profile, VersionId version) {}

    void record(final ProfileId profile, final VersionId version, final double elapsedSeconds) {
        meanSeconds.merge(
                new Key(profile, version),
                elapsedSeconds,
                (mean, latest) -> mean + SMOOTHING_FACTOR * (latest - mean));
    }

    /**
     * Returns the mean in seconds; 0 before the first response, so that a version without samples
     * is not excluded by its time.
     */
    double meanSeconds(final ProfileId profile, final VersionId version) {
        return meanSeconds.getOrDefault(new Key(profile, version), 0.0);
    }
}
