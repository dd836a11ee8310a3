package org.fennelstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fennelstage.history.Position;
import org.junit.jupiter.api.Test;

class EraTrackerTest {

    private final EraTracker eras = EraTracker.empty();
    private final List<Long> reportedEras = new ArrayList<>();

    private boolean offer(final long era, final long revision) {
        return eras.offer(Position.of(era, revision), StoreKind.SERVERS);
    }

    @Test
    void firstEraIsNotReportedAndEachNewerEraIsReportedOnce() {
        eras.onNewEra(() -> reportedEras.add(eras.era()));
        offer(3, 10);
        offer(3, 9);
        offer(4, 2);
        offer(4, 3);
        offer(7, 1);
        assertThat(reportedEras).containsExactly(4L, 7L);
        assertThat(eras.restoreCount()).isEqualTo(2);
    }

    @Test
    void resultsOfAFormerEraAreDiscarded() {
        assertThat(offer(4, 2)).isTrue();
        assertThat(offer(3, 90)).isFalse();
        assertThat(offer(4, 1)).isTrue();
        assertThat(eras.isOfFormerEra(Position.of(3, 90))).isTrue();
        assertThat(eras.era()).isEqualTo(4);
    }
}
