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
 * Chooses the model that answers a request, or two in turn, and learns from ratings. What is learnt
 * stays on this VM. Thread-safe.
 */
final class Cascades {

    private final RatingTable table = RatingTable.empty();
    private final CascadePolicy policy = CascadePolicy.of(table);
    private final AnswerTimes times = new AnswerTimes();
    private final VersionChooser.Progress progress;

    Cascades(final VersionChooser.Progress progress) {
        this.progress = progress;
    }

    /**
     * What a request does first. Immutable and thread-safe.
     *
     * @param model the model that answers first
     * @param fallback the version that answers if the first answer is not good enough; empty if the
     *     first answer goes out whatever it is
     */
    record Stage(ModelId model, Optional<ModelVersion> fallback) {}

    /**
     * Chooses.
     *
     * @param configuration what is in force
     * @param team who asks
     * @param profile the profile asked for
     * @param mayRunTwice whether two models may run the request in turn
     * @param left the time to the deadline
     * @param id the request, which decides whether to explore
     * @return the first stage
     */
    Stage choose(
            final Configuration configuration,
            final Team team,
            final Profile profile,
            final boolean mayRunTwice,
            final Duration left,
            final RequestId id) {
        final Optional<ModelVersion> cheap = proven(configuration, team, profile.cheapest());
        final Optional<ModelVersion> best = proven(configuration, team, profile.best());
        if (cheap.isEmpty() || best.isEmpty() || profile.models().size() == 1) {
            return new Stage(
                    best.isPresent() ? profile.best() : profile.cheapest(), Optional.empty());
        }
        final CascadePolicy.Plan plan =
                policy.plan(
                        profile,
                        option(profile, cheap.get()),
                        option(profile, best.get()),
                        left.toMillis() / 1000.0,
                        Ratings.fraction("cascade/" + id));
        return switch (plan) {
            case CHEAP -> new Stage(profile.cheapest(), Optional.empty());
            case BEST -> new Stage(profile.best(), Optional.empty());
            case CASCADE ->
                    mayRunTwice
                            ? new Stage(profile.cheapest(), best)
                            : new Stage(profile.best(), Optional.empty());
        };
    }

    boolean accepts(
            final Profile profile,
            final VersionId cheap,
            final VersionId best,
            final double confidence) {
        return policy.accepts(profile, cheap, best, confidence);
    }

    void answered(
            final Profile profile,
            final VersionId version,
            final double confidence,
            final double seconds) {
        table.recordAnswer(profile.id(), version, confidence);
        times.note(profile.id(), version, seconds);
    }

    void rated(
            final Profile profile,
            final VersionId version,
            final double confidence,
            final double rating) {
        table.recordRating(profile.id(), version, confidence, rating);
    }

    private Optional<ModelVersion> proven(
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
                times.seconds(profile.id(), version.id()));
    }
}
