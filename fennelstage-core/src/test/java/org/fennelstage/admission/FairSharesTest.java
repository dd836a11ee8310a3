package org.fennelstage.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.fennelstage.id.TeamId;
import org.junit.jupiter.api.Test;

class FairSharesTest {

    private static TrafficClass traffic(final int priority, final int team) {
        return TrafficClass.of(priority, Optional.of(TeamId.of("t" + team)));
    }

    private static double share(
            final FairShares shares,
            final Map<TrafficClass, Double> demands,
            final TrafficClass traffic) {
        return Math.min(demands.get(traffic), shares.perSecond(traffic));
    }

    @Test
    void withoutShortageNoClassIsLimited() {
        final FairShares shares = FairShares.of(10, Map.of(traffic(0, 1), 9.0, traffic(2, 2), 1.0));
        assertThat(shares.perSecond(traffic(0, 1))).isInfinite();
        assertThat(shares.perSecond(traffic(2, 2))).isInfinite();
    }

    @Test
    void urgentRequestsAndSmallTeamsGetAllTheyAskFor() {
        final FairShares shares =
                FairShares.of(
                        10, Map.of(traffic(0, 1), 4.0, traffic(1, 2), 2.0, traffic(1, 3), 8.0));
        assertThat(shares.perSecond(traffic(0, 1))).isInfinite();
        assertThat(shares.perSecond(traffic(1, 2))).isInfinite();
        assertThat(shares.perSecond(traffic(1, 3))).isCloseTo(4, within(1e-6));
    }

    /** Guards against a team that displaces less urgent requests of others by sending more. */
    @Test
    void aTeamThatSendsSixTimesItsDemandLeavesTheSharesOfOthers() {
        final Map<TrafficClass, Double> usual = new HashMap<>();
        for (int team = 0; team < 24; team++) {
            usual.put(traffic(0, team), 2.0);
            usual.put(traffic(2, team), 3.0);
        }
        final Map<TrafficClass, Double> burst = new HashMap<>(usual);
        burst.put(traffic(0, 0), 12.0);
        burst.put(traffic(2, 0), 18.0);
        final FairShares before = FairShares.of(100, usual);
        final FairShares after = FairShares.of(100, burst);
        final TrafficClass other = traffic(2, 1);
        final double lost = share(before, usual, other) - share(after, burst, other);
        assertThat(lost / 5).isLessThan(0.05);
        assertThat(after.perSecond(traffic(0, 1))).isInfinite();
    }

    @Property(tries = 300)
    void sharesUseTheCapacityAndKeepTheMinimums(
            @ForAll @Size(min = 1, max = 64) final List<@DoubleRange(max = 100) Double> rates,
            @ForAll @DoubleRange(min = 0.01, max = 1) final double part) {
        final Map<TrafficClass, Double> demands = new HashMap<>();
        for (int i = 0; i < rates.size(); i++) {
            demands.put(traffic(i % 3, i / 2), rates.get(i) + 0.01);
        }
        final double total = demands.values().stream().mapToDouble(d -> d).sum();
        final FairShares shares = FairShares.of(total * part, demands);
        final double used =
                demands.keySet().stream().mapToDouble(t -> share(shares, demands, t)).sum();
        assertThat(used).isCloseTo(total * part, within(1e-3));
        demands.forEach(
                (traffic, demand) ->
                        assertThat(share(shares, demands, traffic))
                                .isBetween(
                                        FairShares.MIN_PART * part * demand - 1e-6, demand + 1e-9));
    }
}
