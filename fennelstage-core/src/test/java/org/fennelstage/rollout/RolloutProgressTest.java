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

    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc-0");
    private static final Rollout ROLLOUT =
            new Rollout(
                    RolloutId.of("june"),
                    VersionId.of("pero", "v1"),
                    VersionId.of("pero", "v2"),
                    Rollout.State.RUNNING,
                    List.of(0.1, 1.0),
                    Tolerance.DEFAULT);
    private static final ExposurePolicy POLICY = ExposurePolicy.DEFAULT;

    private record Report(int dataCentre, int wanted, int good, int bad) {}

    @Test
    void grantIsLimitedToTheInitialExposureBeforeAnyRequestIsJudged() {
        final RolloutProgress progress =
                RolloutProgress.begin().grant(DATA_CENTRE, 1000, POLICY, 1);
        assertThat(progress.granted(DATA_CENTRE)).isEqualTo(POLICY.initial());
        assertThat(progress.grant(DataCentreId.of("dc-1"), 5, POLICY, 1).totalGranted())
                .isEqualTo(POLICY.initial());
    }

    /** The new version must not get more requests while the rating service is unavailable. */
    @Test
    void allowedDoesNotGrowWhileAnswersAreNotRated() {
        Evidence unrated = Evidence.none();
        for (int i = 0; i < 200; i++) {
            unrated = unrated.plusExposed().plus(Signal.ERROR, false);
        }
        assertThat(POLICY.allowed(unrated, 1)).isEqualTo(POLICY.initial());
    }

    @Test
    void reportHaltsPermanently() {
        Evidence evidence = Evidence.none();
        for (int i = 0; i < 10; i++) {
            evidence = evidence.plus(Signal.ERROR, true);
        }
        final RolloutProgress halted =
                RolloutProgress.begin().report(DATA_CENTRE, evidence, ROLLOUT, POLICY, 1);
        assertThat(halted.halted()).contains(Signal.ERROR);
        assertThat(halted.report(DATA_CENTRE, Evidence.none(), ROLLOUT, POLICY, 1).halted())
                .contains(Signal.ERROR);
        assertThat(halted.grant(DATA_CENTRE, 5, POLICY, 1)).isEqualTo(halted);
    }

    /** A step must not pass merely because too few ratings exist to find the version bad. */
    @Test
    void reportDoesNotPassAVersionThatIsNotShownAcceptable() {
        RolloutProgress progress = RolloutProgress.begin();
        Evidence evidence = Evidence.none();
        for (int i = 0; i < 180; i++) {
            evidence = evidence.plus(Signal.ERROR, false);
            if (i % 3 == 0) {
                evidence = evidence.plus(Signal.POOR_RATING, i % 12 == 0);
            }
            progress = progress.report(DATA_CENTRE, evidence, ROLLOUT, POLICY, 0.33);
        }
        assertThat(progress.done()).isFalse();
        assertThat(progress.step()).isZero();
    }

    @Test
    void reportPassesAllStepsOfAGoodVersion() {
        RolloutProgress progress = RolloutProgress.begin();
        Evidence evidence = Evidence.none();
        for (int i = 0; i < 400; i++) {
            evidence = evidence.plus(Signal.ERROR, false).plus(Signal.POOR_RATING, false);
            progress = progress.report(DATA_CENTRE, evidence, ROLLOUT, POLICY, 1);
        }
        assertThat(progress.done()).isTrue();
    }

    @Property(seed = "41", tries = 300)
    void grantsNeverExceedTheLimitAndProgressNeverDecreases(
            @ForAll("reports") final List<Report> reports) {
        RolloutProgress progress = RolloutProgress.begin();
        final Evidence[] totals = {Evidence.none(), Evidence.none(), Evidence.none()};
        for (final Report report : reports) {
            final DataCentreId dc = DataCentreId.of("dc-" + report.dataCentre());
            totals[report.dataCentre()] = add(totals[report.dataCentre()], report);
            final RolloutProgress next =
                    progress.report(dc, totals[report.dataCentre()], ROLLOUT, POLICY, 1)
                            .grant(dc, report.wanted(), POLICY, 1);
            assertThat(next.totalGranted()).isLessThanOrEqualTo(POLICY.allowed(next.total(), 1));
            assertThat(next.step()).isGreaterThanOrEqualTo(progress.step());
            assertThat(next.totalGranted()).isGreaterThanOrEqualTo(progress.totalGranted());
            assertThat(progress.halted().isEmpty() || next.halted().isPresent()).isTrue();
            progress = next;
        }
    }

    @Provide
    Arbitrary<List<Report>> reports() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 30),
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.integers().between(0, 1))
                .as(Report::new)
                .list()
                .ofMaxSize(40);
    }

    private static Evidence add(final Evidence evidence, final Report report) {
        Evidence sum = evidence;
        for (int i = 0; i < report.good() + report.bad(); i++) {
            final boolean isBad = i < report.bad();
            sum = sum.plusExposed().plus(Signal.ERROR, isBad).plus(Signal.POOR_RATING, false);
        }
        return sum;
    }
}
