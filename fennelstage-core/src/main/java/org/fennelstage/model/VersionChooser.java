package org.fennelstage.model;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.VersionId;
import org.fennelstage.outcome.Outcome;
import org.fennelstage.outcome.Reason;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.session.Session;
import org.fennelstage.team.Team;

/**
 * Chooses the version on which a request runs.
 *
 * <p>Laws: the version's model is one that the team may use; a withdrawn version is never chosen; a
 * draining one only for a session that began on it; a session's request is never moved to another
 * version. Stateless and thread-safe.
 */
public final class VersionChooser {

    private VersionChooser() {}

    /** What was chosen. Immutable and thread-safe. */
    public sealed interface Choice {

        /**
         * The request runs on this version.
         *
         * @param version the version
         * @param runningRollout the roll-out whose candidate may be used instead, if it grants a
         *     share
         * @param completedRollout the completed roll-out whose candidate this is; its answers go on
         *     being judged, since a version that passed may still turn bad
         */
        record Chosen(
                ModelVersion version,
                Optional<Rollout> runningRollout,
                Optional<Rollout> completedRollout)
                implements Choice {
            public Chosen {
                Objects.requireNonNull(completedRollout, "completedRollout is null");
                Objects.requireNonNull(version, "version is null");
                Objects.requireNonNull(runningRollout, "runningRollout is null");
            }
        }

        /**
         * The request does not run.
         *
         * @param outcome what the caller is told
         */
        record Rejected(Outcome.NotRun outcome) implements Choice {}
    }

    /** What is known of a roll-out's progress on this VM. */
    @FunctionalInterface
    public interface Progress {

        /**
         * Returns how far a roll-out got.
         *
         * @param rollout the roll-out
         * @return the status
         */
        Status status(Rollout rollout);
    }

    /** How far a roll-out got. */
    public enum Status {
        RUNNING,
        HALTED,
        DONE
    }

    /**
     * Chooses for a request without a session.
     *
     * @param configuration what is in force
     * @param team who asks
     * @param model the model that is to answer
     * @param progress how far roll-outs got
     * @return the choice
     */
    public static Choice choose(
            final Configuration configuration,
            final Team team,
            final ModelId model,
            final Progress progress) {
        if (!team.models().contains(model)) {
            return refuse(Reason.FORBIDDEN, "team " + team.id() + " may not use model " + model);
        }
        final Optional<Rollout> rollout = configuration.rollout(model);
        final Status status = rollout.map(progress::status).orElse(Status.RUNNING);
        final Optional<VersionId> unproven =
                rollout.filter(r -> status != Status.DONE).map(Rollout::candidate);
        final Optional<ModelVersion> proven =
                rollout.filter(r -> status == Status.DONE)
                        .flatMap(r -> serving(configuration, r.candidate()))
                        .or(() -> rollout.flatMap(r -> serving(configuration, r.proven())))
                        .or(() -> anyServing(configuration, model, unproven));
        if (proven.isEmpty()) {
            return refuse(Reason.NO_BACKEND, "no version of model " + model + " serves");
        }
        final Optional<Rollout> trial =
                rollout.filter(r -> status == Status.RUNNING)
                        .filter(r -> r.state() == Rollout.State.RUNNING)
                        .filter(r -> serving(configuration, r.candidate()).isPresent());
        final Optional<Rollout> watched =
                rollout.filter(r -> r.candidate().equals(proven.get().id()));
        return new Choice.Chosen(proven.get(), trial, watched);
    }

    /**
     * Chooses for a request of a session: its version, or a refusal.
     *
     * @param configuration what is in force
     * @param team who asks
     * @param session the session
     * @param progress how far roll-outs got
     * @return the choice
     */
    public static Choice choose(
            final Configuration configuration,
            final Team team,
            final Session session,
            final Progress progress) {
        final VersionId id = session.version();
        if (!session.team().equals(team.id())) {
            return refuse(Reason.INVALID_SESSION, "the session belongs to another team");
        }
        if (!team.models().contains(id.model())) {
            return refuse(
                    Reason.FORBIDDEN, "team " + team.id() + " may not use model " + id.model());
        }
        final Optional<ModelVersion> version =
                configuration.version(id).filter(ModelVersion::acceptsSession);
        final boolean foundBad =
                configuration
                        .rollout(id.model())
                        .filter(r -> r.candidate().equals(id))
                        .filter(r -> progress.status(r) == Status.HALTED)
                        .isPresent();
        if (version.isEmpty() || foundBad) {
            return refuse(
                    Reason.SESSION_VERSION_WITHDRAWN,
                    "the session's version " + id + " is withdrawn; begin a new session");
        }
        return new Choice.Chosen(version.get(), Optional.empty(), Optional.empty());
    }

    private static Optional<ModelVersion> serving(
            final Configuration configuration, final VersionId id) {
        return configuration.version(id).filter(ModelVersion::acceptsNew);
    }

    private static Optional<ModelVersion> anyServing(
            final Configuration configuration,
            final ModelId model,
            final Optional<VersionId> unproven) {
        return configuration.versions(model).stream()
                .filter(ModelVersion::acceptsNew)
                .filter(v -> unproven.filter(v.id()::equals).isEmpty())
                .findFirst();
    }

    private static Choice refuse(final Reason reason, final String detail) {
        return new Choice.Rejected(Outcome.notRun(reason, detail));
    }
}
