package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.id.TeamId;
import org.junit.jupiter.api.Test;

/**
 * What callers get from a saturated backend server by priority and team, compared with permits that
 * are issued first come, first served.
 */
class FairAdmissionTest {

    private static final int TEAMS = 24;
    private static final int SEEDS = 5;
    private static final TeamId FIRST = TeamId.of("team-0");
    private static final double RATE = SaturatedServerSimulation.RATE;

    /** Largest loss of the total by sharing, as a part of it. */
    private static final double MAX_LOSS = 0.03;

    private static final double MAX_LOST_POINTS = 0.05;
    private static final double MIN_OF_AVERAGE = 0.25;

    /** Runs of one load with different seeds, of which the sums are compared. */
    private static final class Runs {
        private final List<SaturatedServerSimulation> runs = new ArrayList<>();

        private Runs(
                final boolean fair,
                final int countedFromMillis,
                final Map<TrafficClass, DoubleUnaryOperator> load) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                final SaturatedServerSimulation run = new SaturatedServerSimulation(seed, fair);
                run.countedFromMillis = countedFromMillis;
                run.simulate(load);
                runs.add(run);
            }
        }

        private Runs(final boolean fair, final Map<TrafficClass, DoubleUnaryOperator> load) {
            this(fair, 3_000, load);
        }

        private double served(final Predicate<TrafficClass> selected) {
            return part(selected, counts -> counts.served);
        }

        private double inTime(final Predicate<TrafficClass> selected) {
            return part(selected, counts -> counts.inTime);
        }

        private double part(
                final Predicate<TrafficClass> selected,
                final ToIntFunction<SaturatedServerSimulation.Counts> of) {
            int sent = 0;
            int sum = 0;
            for (final SaturatedServerSimulation run : runs) {
                sent += run.total(selected).sent;
                sum += of.applyAsInt(run.total(selected));
            }
            return sum / (double) sent;
        }
    }

    private static Map<TrafficClass, DoubleUnaryOperator> load(
            final double ofRate, final int priorities, final double firstTeam) {
        final Map<TrafficClass, DoubleUnaryOperator> rates = new HashMap<>();
        for (int team = 0; team < TEAMS; team++) {
            final double factor = team == 0 ? firstTeam : 1;
            for (int priority = 0; priority < priorities; priority++) {
                rates.put(
                        TrafficClass.of(priority, Optional.of(TeamId.of("team-" + team))),
                        now -> factor * ofRate * RATE / TEAMS / priorities);
            }
        }
        return rates;
    }

    private static Predicate<TrafficClass> priority(final int priority) {
        return traffic -> traffic.priority() == priority;
    }

    private static Predicate<TrafficClass> team(final TeamId team) {
        return traffic -> traffic.team().filter(team::equals).isPresent();
    }

    private static void assertNoLoss(
            final Runs fair, final Map<TrafficClass, DoubleUnaryOperator> load) {
        final Runs unshared = new Runs(false, load);
        assertThat(fair.served(t -> true))
                .isGreaterThan((1 - MAX_LOSS) * unshared.served(t -> true));
        assertThat(fair.inTime(t -> true))
                .isGreaterThan((1 - MAX_LOSS) * unshared.inTime(t -> true));
    }

    /** Guards against urgent requests that are denied while less urgent ones are served. */
    @Test
    void urgentRequestsAreServedFirstAndTheLeastUrgentDoNotStarve() {
        final Map<TrafficClass, DoubleUnaryOperator> load = load(1.6, 2, 1);
        final Runs fair = new Runs(true, load);
        assertThat(fair.served(priority(0))).isGreaterThan(0.88);
        assertThat(fair.served(priority(1))).isGreaterThan(MIN_OF_AVERAGE * fair.served(t -> true));
        assertNoLoss(fair, load);
    }

    /** Guards against a team that takes the capacity of all by sending more. */
    @Test
    void aTeamThatSendsSixTimesItsDemandTakesLittleFromOthers() {
        final Predicate<TrafficClass> first = team(FIRST);
        for (final int priorities : new int[] {1, 2}) {
            final Map<TrafficClass, DoubleUnaryOperator> burst = load(1.1, priorities, 6);
            final Runs usual = new Runs(true, load(1.1, priorities, 1));
            final Runs fair = new Runs(true, burst);
            assertThat(fair.served(first.negate()))
                    .isGreaterThan(usual.served(first.negate()) - MAX_LOST_POINTS);
            assertThat(fair.served(first)).isGreaterThan(MIN_OF_AVERAGE * fair.served(t -> true));
            assertNoLoss(fair, burst);
        }
    }

    /** Guards against shares that stay unused while others could use them. */
    @Test
    void unusedSharesAreLent() {
        final Map<TrafficClass, DoubleUnaryOperator> load = new HashMap<>(load(0.3, 1, 1));
        final TrafficClass large = TrafficClass.of(0, Optional.of(TeamId.of("large")));
        load.put(large, now -> 1.5 * RATE);
        final Runs fair = new Runs(true, load);
        assertThat(fair.served(large::equals)).isGreaterThan(0.95 * 0.7 / 1.5);
        assertThat(fair.served(t -> !t.equals(large))).isGreaterThan(0.95);
        assertNoLoss(fair, load);
    }

    /** Guards against teams that are denied although the server completes all requests. */
    @Test
    void withinTheRateOfTheServerAllAreServedExactlyAsWithoutShares() {
        final Map<TrafficClass, DoubleUnaryOperator> load = load(0.8, 2, 1);
        final Runs fair = new Runs(true, load);
        final Runs unshared = new Runs(false, load);
        for (final TrafficClass traffic : load.keySet()) {
            assertThat(fair.served(traffic::equals)).isEqualTo(unshared.served(traffic::equals));
            assertThat(fair.inTime(traffic::equals)).isEqualTo(unshared.inTime(traffic::equals));
        }
    }

    /** Guards against a low rate of a team in any ten seconds although its mean suffices. */
    @Test
    void noTeamFallsBelowAQuarterOfTheAverage() {
        final Map<TrafficClass, DoubleUnaryOperator> load = load(2.5, 2, 6);
        for (final int fromMillis : new int[] {3_000, 10_000}) {
            for (final SaturatedServerSimulation run : new Runs(true, fromMillis, load).runs) {
                for (int team = 0; team < TEAMS; team++) {
                    assertThat(run.total(team(TeamId.of("team-" + team))).shareServed())
                            .isGreaterThan(MIN_OF_AVERAGE * run.shareServed());
                }
            }
        }
    }
}
