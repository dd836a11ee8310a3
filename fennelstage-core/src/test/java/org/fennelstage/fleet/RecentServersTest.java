package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class RecentServersTest {

    private static BackendServerId server(final int number) {
        return BackendServerId.of("i-" + number);
    }

    @Test
    void leastRecentlyUsedEntryIsEvictedFirst() {
        final RecentServers<Incarnation> incarnations = RecentServers.empty();
        for (int i = 0; i < RecentServers.MAX_KEPT; i++) {
            incarnations.put(server(i), Incarnation.of(server(i)));
        }
        assertThat(incarnations.get(server(0))).isNotNull();
        incarnations.put(
                server(RecentServers.MAX_KEPT), Incarnation.of(server(RecentServers.MAX_KEPT)));
        assertThat(incarnations).hasSize(RecentServers.MAX_KEPT);
        assertThat(incarnations.containsKey(server(0))).isTrue();
        assertThat(incarnations.containsKey(server(1))).isFalse();
    }
}
