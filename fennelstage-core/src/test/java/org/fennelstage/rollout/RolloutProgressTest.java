package org.fennelstage.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VersionId;
import org.junit.jupiter.api.Test;

class RolloutProgressTest {

    private static final DataCentreId HERE = DataCentreId.of("dc-0");
    private static final Rollout ROLLOUT =
            new Rollout(
                    RolloutId.of("june"),
                    VersionId.of("pero", "v1"),
                    VersionId.of("pero", "v2"),
                    Rollout.State.RUNNING,
                    List.of(0.1, 1.0),
                    Tolerance.DEFAULT);
    private static final ExposurePolicy POLICY = ExposurePolicy.DEFAULT;

    private record Step(int dataCentre, int wanted, int good, int bad) {}

    @Test
    void grantGivesNoMoreThanTheInitialExposureBeforeAnythingIsJudged() {
        final RolloutProgress progress = RolloutProgress.begin().grant(HERE, 1000, POLICY, 1);
        assertThat(progress.granted(HERE)).isEqualTo(POLICY.initial());
        assertThat(progress.grant(DataCentreId.of("dc-1"), 5, POLICY, 1).grantedInAll())
                .isEqualTo(POLICY.initial());
    }

    /** With the rating service down nothing is judged to the end, and exposure stops growing. */
    @Test
    void grantDoesNotGrowWhileAnswersAreNotRated() {
        Evidence unrated = Evidence.none();
        for (int i = 0; i < 200; i++) {
            unrated = unrated.plusExposed().plus(Signal.ERROR, false);
        }
        assertThat(POLICY.allowed(unrated, 1)).isEqualTo(POLICY.initial());
    }

    @Test
    void reportHaltsForGood() {
        Evidence evidence = Evidence.none();
        for (int i = 0; i < 10; i++) {
            evidence = evidence.plus(Signal.ERROR, true);
        }
        final RolloutProgress halted =
                RolloutProgress.begin().report(HERE, evidence, ROLLOUT, POLICY, 1);
        assertThat(halted.halted()).contains(Signal.ERROR);
        assertThat(halted.report(HERE, Evidence.none(), ROLLOUT, POLICY, 1).halted())
                .contains(Signal.ERROR);
        assertThat(halted.grant(HERE, 5, POLICY, 1)).isEqualTo(halted);
    }

    /**
     * Symptom: a version whose answers are poor one time in four passes all steps. Events: a third
     * of the answers is rated, so the steps end with some fifty ratings. Cause: a step passed when
     * it had merely not been found bad.
     */
    @Test
    void reportDoesNotPassACandidateThatIsNotShownGood() {
        RolloutProgress progress = RolloutProgress.begin();
        Evidence evidence = Evidence.none();
        for (int i = 0; i < 180; i++) {
            evidence = evidence.plus(Signal.ERROR, false);
            if (i % 3 == 0) {
                evidence = evidence.plus(Signal.POOR_RATING, i % 12 == 0);
            }
            progress = progress.report(HERE, evidence, ROLLOUT, POLICY, 0.33);
        }
        assertThat(progress.done()).isFalse();
        assertThat(progress.step()).isZero();
    }

    @Test
    void reportPassesStepsAndEnds() {
        RolloutProgress progress = RolloutProgress.begin();
        Evidence evidence = Evidence.none();
        for (int i = 0; i < 400; i++) {
            evidence = evidence.plus(Signal.ERROR, false).plus(Signal.POOR_RATING, false);
            progress = progress.report(HERE, evidence, ROLLOUT, POLICY, 1);
        }
        assertThat(progress.done()).isTrue();
    }

    @Property(seed = "41", tries = 300)
    void sharesNeverExceedWhatIsAllowedAndNothingFalls(@ForAll("steps") final List<Step> steps) {
        RolloutProgress progress = RolloutProgress.begin();
        final Evidence[] found = {Evidence.none(), Evidence.none(), Evidence.none()};
        for (final Step step : steps) {
            final DataCentreId dc = DataCentreId.of("dc-" + step.dataCentre());
            found[step.dataCentre()] = add(found[step.dataCentre()], step);
            final RolloutProgress next =
                    progress.report(dc, found[step.dataCentre()], ROLLOUT, POLICY, 1)
                            .grant(dc, step.wanted(), POLICY, 1);
            assertThat(next.grantedInAll()).isLessThanOrEqualTo(POLICY.allowed(next.total(), 1));
            assertThat(next.step()).isGreaterThanOrEqualTo(progress.step());
            assertThat(next.grantedInAll()).isGreaterThanOrEqualTo(progress.grantedInAll());
            assertThat(progress.halted().isEmpty() || next.halted().isPresent()).isTrue();
            progress = next;
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 30),
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.integers().between(0, 1))
                .as(Step::new)
                .list()
                .ofMaxSize(40);
    }

    private static Evidence add(final Evidence evidence, final Step step) {
        Evidence sum = evidence;
        for (int i = 0; i < step.good() + step.bad(); i++) {
            final boolean isBad = i < step.bad();
            sum = sum.plusExposed().plus(Signal.ERROR, isBad).plus(Signal.POOR_RATING, false);
        }
        return sum;
    }
}
