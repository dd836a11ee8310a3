package org.fennelstage.route;

import java.time.Duration;
import java.util.Optional;
import org.fennelstage.cascade.CascadePolicy;
import org.fennelstage.cascade.RatingTable;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VersionId;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.model.VersionChooser;
import org.fennelstage.profile.Profile;
import org.fennelstage.team.Team;

/**
 * Selects the model for a request, or a cascade of two models, based on the ratings and response
 * times seen by this VM. Thread-safe.
 */
final class Cascades {

    private final RatingTable table = RatingTable.empty();
    private final CascadePolicy policy = CascadePolicy.of(table);
    private final ResponseTimes responseTimes = new ResponseTimes();
    private final VersionChooser.Progress progress;

    Cascades(final VersionChooser.Progress progress) {
        this.progress = progress;
    }

    /**
     * The model of the first attempt and an optional fallback. Immutable and thread-safe.
     *
     * @param model the model of the first attempt
     * @param fallback the version to use if the first answer is not good enough; empty if the first
     *     answer is always returned
     */
    record Stage(ModelId model, Optional<ModelVersion> fallback) {}

    /**
     * Selects the first stage of a request.
     *
     * @param configuration the current configuration
     * @param team the team of the caller
     * @param profile the requested profile
     * @param mayRunTwice whether two models may run the request one after the other
     * @param timeLeft the time left until the deadline
     * @param id the request id, whose hash decides whether to explore
     * @return the first stage
     */
    Stage choose(
            final Configuration configuration,
            final Team team,
            final Profile profile,
            final boolean mayRunTwice,
            final Duration timeLeft,
            final RequestId id) {
        final Optional<ModelVersion> small =
                currentVersion(configuration, team, profile.cheapest());
        final Optional<ModelVersion> large = currentVersion(configuration, team, profile.best());
        if (small.isEmpty() || large.isEmpty() || profile.models().size() == 1) {
            return new Stage(
                    large.isPresent() ? profile.best() : profile.cheapest(), Optional.empty());
        }
        final CascadePolicy.Plan plan =
                policy.plan(
                        profile,
                        option(profile, small.get()),
                        option(profile, large.get()),
                        timeLeft.toMillis() / 1000.0,
                        RatingClient.sampleFraction("cascade/" + id));
        return switch (plan) {
            case CHEAP -> new Stage(profile.cheapest(), Optional.empty());
            case BEST -> new Stage(profile.best(), Optional.empty());
            case CASCADE ->
                    mayRunTwice
                            ? new Stage(profile.cheapest(), large)
                            : new Stage(profile.best(), Optional.empty());
        };
    }

    boolean accepts(
            final Profile profile,
            final VersionId small,
            final VersionId large,
            final double confidence) {
        return policy.accepts(profile, small, large, confidence);
    }

    void recordAnswer(
            final Profile profile,
            final VersionId version,
            final double confidence,
            final double seconds) {
        table.recordAnswer(profile.id(), version, confidence);
        responseTimes.record(profile.id(), version, seconds);
    }

    void recordRating(
            final Profile profile,
            final VersionId version,
            final double confidence,
            final double rating) {
        table.recordRating(profile.id(), version, confidence, rating);
    }

    private Optional<ModelVersion> currentVersion(
            final Configuration configuration, final Team team, final ModelId model) {
        return VersionChooser.choose(configuration, team, model, progress)
                        instanceof VersionChooser.Choice.Chosen chosen
                ? Optional.of(chosen.version())
                : Optional.empty();
    }

    private CascadePolicy.Option option(final Profile profile, final ModelVersion version) {
        return new CascadePolicy.Option(
                version.id(),
                version.costPerThousandTokens(),
                responseTimes.meanSeconds(profile.id(), version.id()));
    }
}
