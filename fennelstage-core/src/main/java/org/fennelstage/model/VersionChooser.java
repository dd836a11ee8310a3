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
 * Chooses the version that runs a request.
 *
 * <p>Invariant: the team may use the model of the chosen version; a withdrawn version is never
 * chosen, a draining one only for a session that began on it; all requests of a session run on the
 * same version. Stateless and thread-safe.
 */
public final class VersionChooser {

    private VersionChooser() {}

    /** The result of a choice. Immutable and thread-safe. */
    public sealed interface Choice {

        /**
         * The request runs on this version.
         *
         * @param version the version
         * @param runningRollout the rollout whose new version may run the request instead, if it
         *     grants the request
         * @param completedRollout the completed rollout whose new version this is; its responses
         *     are still judged, to detect a later degradation
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
         * The request is rejected.
         *
         * @param outcome the outcome sent to the caller
         */
        record Rejected(Outcome.NotRun outcome) implements Choice {}
    }

    /** The progress of rollouts as known to this VM. */
    @FunctionalInterface
    public interface Progress {

        /**
         * Returns the status of a rollout.
         *
         * @param rollout the rollout
         * @return the status
         */
        Status status(Rollout rollout);
    }

    /** The status of a rollout. */
    public enum Status {
        RUNNING,
        HALTED,
        DONE
    }

    /**
     * Chooses the version for a request without a session.
     *
     * @param configuration the current configuration
     * @param team the team that sent the request
     * @param model the requested model
     * @param progress the progress of rollouts
     * @return the version, or a rejection
     */
    public static Choice choose(
            final Configuration configuration,
            final Team team,
            final ModelId model,
            final Progress progress) {
        if (!team.models().contains(model)) {
            return reject(Reason.FORBIDDEN, "team " + team.id() + " may not use model " + model);
        }
        final Optional<Rollout> rollout = configuration.rollout(model);
        final Status status = rollout.map(progress::status).orElse(Status.RUNNING);
        final Optional<VersionId> excluded =
                rollout.filter(r -> status != Status.DONE).map(Rollout::candidate);
        final Optional<ModelVersion> current =
                rollout.filter(r -> status == Status.DONE)
                        .flatMap(r -> serving(configuration, r.candidate()))
                        .or(() -> rollout.flatMap(r -> serving(configuration, r.proven())))
                        .or(() -> anyServing(configuration, model, excluded));
        if (current.isEmpty()) {
            return reject(Reason.NO_BACKEND, "no version of model " + model + " is serving");
        }
        final Optional<Rollout> runningRollout =
                rollout.filter(r -> status == Status.RUNNING)
                        .filter(r -> r.state() == Rollout.State.RUNNING)
                        .filter(r -> serving(configuration, r.candidate()).isPresent());
        final Optional<Rollout> completedRollout =
                rollout.filter(r -> r.candidate().equals(current.get().id()));
        return new Choice.Chosen(current.get(), runningRollout, completedRollout);
    }

    /**
     * Chooses the version for a request of a session.
     *
     * @param configuration the current configuration
     * @param team the team that sent the request
     * @param session the session
     * @param progress the progress of rollouts
     * @return the version of the session, or a rejection
     */
    public static Choice choose(
            final Configuration configuration,
            final Team team,
            final Session session,
            final Progress progress) {
        final VersionId id = session.version();
        if (!session.team().equals(team.id())) {
            return reject(Reason.INVALID_SESSION, "the session belongs to another team");
        }
        if (!team.models().contains(id.model())) {
            return reject(
                    Reason.FORBIDDEN, "team " + team.id() + " may not use model " + id.model());
        }
        final Optional<ModelVersion> version =
                configuration.version(id).filter(ModelVersion::acceptsSession);
        final boolean isHalted =
                configuration
                        .rollout(id.model())
                        .filter(r -> r.candidate().equals(id))
                        .filter(r -> progress.status(r) == Status.HALTED)
                        .isPresent();
        if (version.isEmpty() || isHalted) {
            return reject(
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
            final Optional<VersionId> excluded) {
        return configuration.versions(model).stream()
                .filter(ModelVersion::acceptsNew)
                .filter(v -> excluded.filter(v.id()::equals).isEmpty())
                .findFirst();
    }

    private static Choice reject(final Reason reason, final String detail) {
        return new Choice.Rejected(Outcome.notRun(reason, detail));
    }
}
