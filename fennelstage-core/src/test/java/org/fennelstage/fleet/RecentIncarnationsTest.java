package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class RecentIncarnationsTest {

    private static BackendServerId server(final int number) {
        return BackendServerId.of("i-" + number);
    }

    @Test
    void leastRecentlyUsedEntryIsEvictedFirst() {
        final RecentIncarnations incarnations = RecentIncarnations.empty();
        for (int i = 0; i < RecentIncarnations.MAX_KEPT; i++) {
            incarnations.put(server(i), Incarnation.of(server(i)));
        }
        assertThat(incarnations.get(server(0))).isNotNull();
        incarnations.put(
                server(RecentIncarnations.MAX_KEPT),
                Incarnation.of(server(RecentIncarnations.MAX_KEPT)));
        assertThat(incarnations).hasSize(RecentIncarnations.MAX_KEPT);
        assertThat(incarnations.containsKey(server(0))).isTrue();
        assertThat(incarnations.containsKey(server(1))).isFalse();
    }
}
