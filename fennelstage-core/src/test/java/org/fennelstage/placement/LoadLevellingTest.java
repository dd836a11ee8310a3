package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LoadLevellingTest {

    private static double[] equalCapacities(final int servers) {
        final double[] capacities = new double[servers];
        Arrays.fill(capacities, 6);
        return capacities;
    }

    private static double[] array(final List<Integer> values) {
        return values.stream().mapToDouble(Integer::doubleValue).toArray();
    }

    @Property(tries = 300)
    void sharesAddUpToOneAndFavourLessLoad(
            @ForAll @Size(min = 1, max = 8) final List<@IntRange(max = 60) Integer> loads,
            @ForAll @DoubleRange(max = 500) final double arrivals) {
        final double[] shares =
                LoadLevelling.shares(array(loads), equalCapacities(loads.size()), arrivals);
        assertThat(Arrays.stream(shares).sum()).isCloseTo(1, within(1e-6));
        for (int i = 0; i < shares.length; i++) {
            assertThat(shares[i]).isGreaterThanOrEqualTo(-1e-9);
            for (int j = 0; j < shares.length; j++) {
                if (loads.get(i) < loads.get(j)) {
                    assertThat(shares[i]).isGreaterThanOrEqualTo(shares[j] - 1e-9);
                }
            }
        }
    }

    @Test
    void theLeastLoadedServerGetsEverythingIfNothingArrivesMeanwhile() {
        assertThat(LoadLevelling.shares(new double[] {5, 2, 9}, equalCapacities(3), 0))
                .containsExactly(0, 1, 0);
    }

    @Test
    void arrivalsFillTheGapsFirst() {
        assertThat(LoadLevelling.shares(new double[] {0, 4}, equalCapacities(2), 8))
                .containsExactly(0.75, 0.25);
    }

    @Test
    void manyArrivalsAreDividedByCapacity() {
        final double[] shares =
                LoadLevelling.shares(new double[] {3, 0}, new double[] {12, 4}, 10_000);
        assertThat(shares[0]).isCloseTo(0.75, within(0.01));
    }

    @Test
    void thereAreNoSharesWithoutServers() {
        assertThat(LoadLevelling.shares(new double[0], new double[0], 1)).isEmpty();
    }
}
