package org.fennelstage.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.configuration.Digest;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.SessionId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.fennelstage.outcome.Reason;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.Tolerance;
import org.fennelstage.session.Session;
import org.fennelstage.team.KeyHash;
import org.fennelstage.team.Team;
import org.junit.jupiter.api.Test;

class VersionChooserTest {

    private static final ModelId PERO = ModelId.of("pero");
    private static final VersionId V1 = VersionId.of("pero", "v1");
    private static final VersionId V2 = VersionId.of("pero", "v2");
    private static final Rollout ROLLOUT =
            new Rollout(
                    RolloutId.of("r"),
                    V1,
                    V2,
                    Rollout.State.RUNNING,
                    List.of(1.0),
                    Tolerance.DEFAULT);

    @Test
    void chooseRejectsAModelThatTheTeamMayNotUse() {
        final VersionChooser.Choice choice =
                VersionChooser.choose(
                        configuration(ModelVersion.State.SERVING, ModelVersion.State.SERVING),
                        team(Set.of(ModelId.of("other"))),
                        PERO,
                        r -> VersionChooser.Status.RUNNING);
        assertThat(reason(choice)).isEqualTo(Reason.FORBIDDEN);
    }

    @Test
    void chooseReturnsTheCurrentVersionAndTheRunningRollout() {
        final VersionChooser.Choice.Chosen chosen =
                chosen(
                        ModelVersion.State.SERVING,
                        ModelVersion.State.SERVING,
                        VersionChooser.Status.RUNNING);
        assertThat(chosen.version().id()).isEqualTo(V1);
        assertThat(chosen.runningRollout()).contains(ROLLOUT);
    }

    @Test
    void chooseReturnsNoHaltedRollout() {
        final VersionChooser.Choice.Chosen chosen =
                chosen(
                        ModelVersion.State.SERVING,
                        ModelVersion.State.SERVING,
                        VersionChooser.Status.HALTED);
        assertThat(chosen.version().id()).isEqualTo(V1);
        assertThat(chosen.runningRollout()).isEmpty();
    }

    @Test
    void chooseReturnsTheNewVersionOnceTheRolloutIsDone() {
        assertThat(
                        chosen(
                                        ModelVersion.State.SERVING,
                                        ModelVersion.State.SERVING,
                                        VersionChooser.Status.DONE)
                                .version()
                                .id())
                .isEqualTo(V2);
    }

    /**
     * If the current version is withdrawn, the new version of a running rollout must not replace
     * it.
     */
    @Test
    void chooseNeverFallsBackToTheNewVersionOfARunningRollout() {
        final VersionChooser.Choice choice =
                VersionChooser.choose(
                        configuration(ModelVersion.State.WITHDRAWN, ModelVersion.State.SERVING),
                        team(Set.of(PERO)),
                        PERO,
                        r -> VersionChooser.Status.RUNNING);
        assertThat(reason(choice)).isEqualTo(Reason.NO_BACKEND);
    }

    @Test
    void chooseKeepsASessionOnItsDrainingVersionAndRejectsAWithdrawnOne() {
        assertThat(sessionChoice(ModelVersion.State.DRAINING, VersionChooser.Status.RUNNING))
                .isInstanceOf(VersionChooser.Choice.Chosen.class);
        assertThat(
                        reason(
                                sessionChoice(
                                        ModelVersion.State.WITHDRAWN,
                                        VersionChooser.Status.RUNNING)))
                .isEqualTo(Reason.SESSION_VERSION_WITHDRAWN);
    }

    @Test
    void chooseRejectsASessionOnTheNewVersionOfAHaltedRollout() {
        assertThat(reason(sessionChoice(ModelVersion.State.SERVING, VersionChooser.Status.HALTED)))
                .isEqualTo(Reason.SESSION_VERSION_WITHDRAWN);
    }

    @Test
    void chooseRejectsTheSessionOfAnotherTeam() {
        final Session sessionOfAnotherTeam =
                new Session(SessionId.of("s"), TeamId.of("others"), ProfileId.of("draft"), V2);
        final VersionChooser.Choice choice =
                VersionChooser.choose(
                        configuration(ModelVersion.State.SERVING, ModelVersion.State.SERVING),
                        team(Set.of(PERO)),
                        sessionOfAnotherTeam,
                        r -> VersionChooser.Status.RUNNING);
        assertThat(reason(choice)).isEqualTo(Reason.INVALID_SESSION);
    }

    private static VersionChooser.Choice sessionChoice(
            final ModelVersion.State state, final VersionChooser.Status status) {
        return VersionChooser.choose(
                configuration(ModelVersion.State.SERVING, state),
                team(Set.of(PERO)),
                new Session(SessionId.of("s"), TeamId.of("t"), ProfileId.of("draft"), V2),
                r -> status);
    }

    private static VersionChooser.Choice.Chosen chosen(
            final ModelVersion.State currentState,
            final ModelVersion.State newState,
            final VersionChooser.Status status) {
        return (VersionChooser.Choice.Chosen)
                VersionChooser.choose(
                        configuration(currentState, newState),
                        team(Set.of(PERO)),
                        PERO,
                        r -> status);
    }

    private static Reason reason(final VersionChooser.Choice choice) {
        return ((VersionChooser.Choice.Rejected) choice).outcome().reason();
    }

    private static Configuration configuration(
            final ModelVersion.State currentState, final ModelVersion.State newState) {
        return new Configuration.Builder(Digest.EMPTY)
                .add(new ModelVersion(V1, currentState, 1))
                .add(new ModelVersion(V2, newState, 1))
                .add(ROLLOUT)
                .build();
    }

    private static Team team(final Set<ModelId> models) {
        return new Team(TeamId.of("t"), KeyHash.ofKey("s", "k"), Set.of(), models, 1, 1, false);
    }

    @Test
    void configurationReturnsTheRolloutOfAModel() {
        assertThat(
                        configuration(ModelVersion.State.SERVING, ModelVersion.State.SERVING)
                                .rollout(PERO))
                .isEqualTo(Optional.of(ROLLOUT));
    }
}
